"""Plain data for comparisons with golden files: by position, so that names inside the code may change."""

from __future__ import annotations

import dataclasses
import typing
from enum import Enum
from typing import Any

import msgspec


def plain(value: Any) -> Any:
    """Structs and dataclasses as lists in the order of their fields, enums by value, bytes in hex."""
    if isinstance(value, Enum):
        return value.value
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return [plain(getattr(value, field.name)) for field in dataclasses.fields(value)]
    if isinstance(value, msgspec.Struct):
        return [plain(each) for each in msgspec.structs.astuple(value)]
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, dict):
        return {key.hex() if isinstance(key, bytes) else key: plain(each) for key, each in value.items()}
    if isinstance(value, list | tuple):
        return [plain(each) for each in value]
    return value


def variant(union: Any, value: Any) -> Any:
    """A value of a union: the place of its type in the union, then its plain data."""
    return [typing.get_args(union).index(type(value)), plain(value)] if value is not None else None

"""Conversion to plain data by field position, so that golden files do not depend on names in the code."""

from __future__ import annotations

import dataclasses
import typing
from enum import Enum
from typing import Any

import msgspec


def plain(value: Any) -> Any:
    """Convert structs and dataclasses to lists in field order, enums to their values, and bytes to hex."""
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
    """Convert a value of a union to the index of its type in the union, and its plain data."""
    return [typing.get_args(union).index(type(value)), plain(value)] if value is not None else None

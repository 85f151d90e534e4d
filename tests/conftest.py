"""Fixtures and hooks for all tests."""

import pytest

from tests.known_red import (  # noqa: F401  # pytest looks up hooks by name
    pytest_collection_modifyitems,
    pytest_configure,
    pytest_terminal_summary,
)

pytest_plugins = ["pytester"]


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"

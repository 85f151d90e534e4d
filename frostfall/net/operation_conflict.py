"""The error for a statement that names another statement's operation."""

from __future__ import annotations


class OperationConflict(Exception):
    """Raised for a statement that names an operation that was begun with another statement."""

    def __init__(self) -> None:
        """Use the text that the client receives."""
        super().__init__("an operation that was begun with another statement")

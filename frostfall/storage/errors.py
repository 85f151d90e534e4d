"""Exceptions of the storage package and of the driver that runs it."""

from __future__ import annotations


class StorageError(Exception):
    """Base of all errors of the log."""


class LogStateError(StorageError):
    """A method was called in a state of the log that does not allow it: a fault of the caller."""


class RecordMismatchError(StorageError, ValueError):
    """The log holds something else at a location than the index says."""


class DirectoryInUseError(StorageError, OSError):
    """Another process holds the lock of the log's directory."""

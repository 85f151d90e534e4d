"""Exceptions of the storage package and of the driver that runs it."""

from __future__ import annotations


class StorageError(Exception):
    """Base class of all errors of the log."""


class LogStateError(StorageError):
    """A method was called in a state of the log that does not allow the call, which is a caller's fault."""


class RecordMismatchError(StorageError, ValueError):
    """The record at a location of the log differs from the index."""


class DirectoryInUseError(StorageError, OSError):
    """Another process holds the lock of the log's directory."""

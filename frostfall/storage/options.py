"""Options for the log: the key `store` of the operator file's section `group`."""

from __future__ import annotations

import msgspec

MIN_SEGMENT_BYTES = 64 * 1024
MAX_SEGMENT_BYTES = 1 << 30
MIN_SEGMENTS_IN_FOLDER = 4
MIN_KEEP_SECONDS = 1.0
MAX_KEEP_SECONDS = 1e9
MAX_ANSWER_BYTES = 65536


class StorageOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of the log's directory; the names of the fields are keys of the operator file."""

    segment_bytes: int = 4 * 1024 * 1024  # segment size from which a new segment is started
    folder_bytes: int = 1024 * 1024 * 1024  # total size from which no non-idempotent work is admitted
    keep: float = 86_400.0  # retention of ended operations, in seconds of running time
    answer_bytes: int = 4096  # a longer answer is not stored; a retry then only learns that it was served

    def __post_init__(self) -> None:
        """Check ranges and combinations; raises ValueError naming the key."""
        if not MIN_SEGMENT_BYTES <= self.segment_bytes <= MAX_SEGMENT_BYTES:
            raise ValueError(
                f"segment_bytes: {self.segment_bytes} is not from {MIN_SEGMENT_BYTES} to {MAX_SEGMENT_BYTES}"
            )
        if self.folder_bytes < MIN_SEGMENTS_IN_FOLDER * self.segment_bytes:
            raise ValueError(f"folder_bytes: {self.folder_bytes} is below four segments")
        if not MIN_KEEP_SECONDS <= self.keep <= MAX_KEEP_SECONDS:
            raise ValueError(f"keep: {self.keep:g} is not from 1 to 1e9 seconds")
        if not 0 <= self.answer_bytes <= MAX_ANSWER_BYTES:
            raise ValueError(f"answer_bytes: {self.answer_bytes} is not from 0 to {MAX_ANSWER_BYTES}")

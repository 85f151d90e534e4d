"""What operators set on the store: the key `store` of the section `group`."""

from __future__ import annotations

import msgspec


class StorageOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds of the folder; every figure has a default."""

    segment_bytes: int = 4 * 1024 * 1024  # a segment that has so many is closed
    folder_bytes: int = 1024 * 1024 * 1024  # with so many in all segments, no unsafe work is taken
    keep: float = 86_400.0  # seconds of running for which ended operations are remembered
    answer_bytes: int = 4096  # a longer answer is not kept: who asks again is told that it was served

    def __post_init__(self) -> None:
        """Check that the figures go together."""
        if not 64 * 1024 <= self.segment_bytes <= 1 << 30:
            raise ValueError(f"segment_bytes: {self.segment_bytes} is not from 65536 to 1073741824")
        if self.folder_bytes < 4 * self.segment_bytes:
            raise ValueError(f"folder_bytes: {self.folder_bytes} is below four segments")
        if not 1.0 <= self.keep <= 1e9:
            raise ValueError(f"keep: {self.keep:g} is not from 1 to 1e9 seconds")
        if not 0 <= self.answer_bytes <= 65536:
            raise ValueError(f"answer_bytes: {self.answer_bytes} is not from 0 to 65536")

"""Answers of operations as they are recorded, each bound to the statement that it answers.

A recorded answer begins with a ParameterStatus message with the statement's fingerprint. Clients skip
messages of this type, so an agent of an earlier version can replay a recorded answer as it is. Answers that
earlier versions have recorded are not bound, and are valid for every statement that names their operation.
"""

from __future__ import annotations

from frostfall.protocol import pg
from frostfall.protocol.statement import FINGERPRINT_BYTES

_PARAMETER = "statement_fingerprint"


def _binding(fingerprint: bytes) -> bytes:
    return pg.parameter_status(_PARAMETER, fingerprint.hex())


BINDING_BYTES = len(_binding(bytes(FINGERPRINT_BYTES)))
_BINDING_START = _binding(bytes(FINGERPRINT_BYTES))[: -FINGERPRINT_BYTES * 2 - 1]


def bind(answer: bytes, fingerprint: bytes) -> bytes:
    """Return the answer to the statement with this fingerprint in its recorded form."""
    return _binding(fingerprint) + answer


def answer_for(recorded: bytes, fingerprint: bytes) -> bytes | None:
    """Return the answer in a recorded one, or None if it was made for another statement."""
    if not recorded.startswith(_BINDING_START):
        return recorded
    return recorded[BINDING_BYTES:] if recorded.startswith(_binding(fingerprint)) else None

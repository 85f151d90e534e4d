"""Framing of a connection between members, authenticated by a shared key. No I/O.

    frame = u32 length (little endian), 16 bytes of BLAKE2b (RFC 7693) keyed for this connection and
    direction, body

The accepting side begins with a nonce of 16 random bytes in cleartext. The initiator answers with its own
nonce and then sends frames. The key of each direction is derived from the shared key and both nonces. The
checksum also covers the number of the frame, so that a frame that was replayed, dropped or reflected is
detected. Nothing is encrypted. After an error the connection has to be closed.
"""

from __future__ import annotations

import hmac
import struct
from hashlib import blake2b
from typing import NamedTuple

import msgspec

from frostfall.protocol.member_messages import MemberMessage, decode_message, encode_message

NONCE_BYTES = 16
MAX_FRAME_BYTES = 1024 * 1024  # limit of a frame's body

_KEY_BYTES = 32
_CHECKSUM_BYTES = 16
_FRAME_HEADER = struct.Struct("<I16s")


class MemberProtocolError(Exception):
    """The received bytes are not a frame from a member of this group."""


class FrameTooLargeError(MemberProtocolError):
    """A frame announces more than MAX_FRAME_BYTES."""


class AuthenticationError(MemberProtocolError):
    """A frame's checksum is wrong: another key, or a frame was replayed, dropped or reflected."""


class MalformedMessageError(MemberProtocolError):
    """An authenticated frame contains no known message."""


class ChannelStateError(RuntimeError):
    """A frame was encoded before the other side's nonce was received, which is a bug of the caller."""


class _DirectionKeys(NamedTuple):
    sending: bytes
    receiving: bytes


class AuthenticatedChannel:
    """Encodes and decodes the frames of one connection."""

    def __init__(self, shared_key: str, is_initiator: bool, own_nonce: bytes) -> None:
        """`own_nonce` has NONCE_BYTES random bytes, which the caller has to send first."""
        self._shared_key = shared_key
        self._is_initiator = is_initiator
        self._own_nonce = own_nonce
        self._buffer = bytearray()
        self._keys: _DirectionKeys | None = None
        self._sent_count = 0
        self._received_count = 0

    @property
    def is_ready(self) -> bool:
        """Return whether the other side's nonce has been received, so that frames can be sent."""
        return self._keys is not None

    def receive_data(self, data: bytes) -> list[MemberMessage]:
        """Process received bytes and return the complete messages. Raises MemberProtocolError."""
        self._buffer += data
        if self._keys is None:
            if len(self._buffer) < NONCE_BYTES:
                return []
            self._keys = self._derive_keys(bytes(self._buffer[:NONCE_BYTES]))
            del self._buffer[:NONCE_BYTES]
        messages: list[MemberMessage] = []
        while (body := self._next_body(self._keys.receiving)) is not None:
            try:
                messages.append(decode_message(body))
            except msgspec.MsgspecError as error:
                raise MalformedMessageError(f"cannot decode the message in a frame: {error}") from None
        return messages

    def encode(self, message: MemberMessage) -> bytes:
        """Encode a message as a frame. Frames have to be sent in the order in which they were encoded."""
        if self._keys is None:
            raise ChannelStateError("cannot encode a frame before the other side's nonce has been received")
        body = encode_message(message)
        self._sent_count += 1
        return _FRAME_HEADER.pack(len(body), _checksum(self._keys.sending, self._sent_count, body)) + body

    def _next_body(self, receiving_key: bytes) -> bytes | None:
        """Remove the next frame from the buffer and return its body; None if the frame is incomplete."""
        if len(self._buffer) < _FRAME_HEADER.size:
            return None
        length, checksum = _FRAME_HEADER.unpack_from(self._buffer)
        if length > MAX_FRAME_BYTES:
            raise FrameTooLargeError(f"a frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES}")
        end = _FRAME_HEADER.size + length
        if len(self._buffer) < end:
            return None
        body = bytes(self._buffer[_FRAME_HEADER.size : end])
        self._received_count += 1
        if not hmac.compare_digest(checksum, _checksum(receiving_key, self._received_count, body)):
            raise AuthenticationError(
                "wrong checksum of a frame: another key, or a frame was replayed, dropped or reflected"
            )
        del self._buffer[:end]
        return body

    def _derive_keys(self, peer_nonce: bytes) -> _DirectionKeys:
        acceptor_nonce, initiator_nonce = (
            (peer_nonce, self._own_nonce) if self._is_initiator else (self._own_nonce, peer_nonce)
        )
        group_key = blake2b(self._shared_key.encode(), digest_size=_KEY_BYTES).digest()
        from_initiator, from_acceptor = (
            blake2b(
                acceptor_nonce + initiator_nonce + direction, key=group_key, digest_size=_KEY_BYTES
            ).digest()
            for direction in (b">", b"<")
        )
        if self._is_initiator:
            return _DirectionKeys(sending=from_initiator, receiving=from_acceptor)
        return _DirectionKeys(sending=from_acceptor, receiving=from_initiator)


def _checksum(key: bytes, frame_number: int, body: bytes) -> bytes:
    data = frame_number.to_bytes(8, "little") + body
    return blake2b(data, key=key, digest_size=_CHECKSUM_BYTES).digest()

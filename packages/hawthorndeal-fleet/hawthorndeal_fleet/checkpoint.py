"""Serialize the whole state to text, in parts that fit into a log entry."""

import base64
import binascii
import hashlib
import json
import zlib

import attrs

from . import codec
from . import errors
from . import statecodec

FORMAT = 1
MAX_PART_CHARS = 128 * 1024
MAX_TEXT_BYTES = 256 * 1024 * 1024
MAX_PARTS = 4096

_CHECKSUM_BYTES = 16
# Higher levels take several times as long for an output 10% smaller.
_COMPRESSION_LEVEL = 3


@attrs.frozen
class CheckpointPart:
    """A part of a checkpoint.

    :ivar next_offset: first offset that the checkpoint doesn't include
    :ivar checksum: checksum of the whole text, equal in all parts
    :ivar number: index of this part, from 0
    :ivar parts: number of parts
    """

    epoch: int
    next_offset: int
    revision: int
    checksum: str
    number: int
    parts: int
    text: str
    format: int = FORMAT

    @property
    def rank(self):
        """Return a key that is greater for a newer checkpoint."""
        return self.epoch, self.next_offset


def dump(state):
    """Serialize the whole state to text."""
    plain = json.dumps(statecodec.encode(state), separators=(',', ':'))
    compressed = zlib.compress(plain.encode(), _COMPRESSION_LEVEL)
    return base64.b64encode(compressed).decode()


def load(text):
    """Deserialize the state from text.

    :raises statecodec.InvalidCheckpoint: if the text is not a checkpoint
    """
    try:
        decompressor = zlib.decompressobj()
        plain = decompressor.decompress(
            base64.b64decode(text, validate=True), MAX_TEXT_BYTES
        )
        if not decompressor.eof:
            raise statecodec.InvalidCheckpoint('cut off or too large')
        data = json.loads(plain)
    except (zlib.error, binascii.Error, ValueError, RecursionError) as error:
        raise statecodec.InvalidCheckpoint(repr(error)) from error
    return statecodec.restore(data)


def digest(state):
    """Return a hexadecimal digest that is equal for equal states."""
    return _checksum(codec.canonical(statecodec.encode(state)))


def _checksum(content):
    return hashlib.blake2b(content, digest_size=_CHECKSUM_BYTES).hexdigest()


def split(state, text):
    """Split a serialized state into parts, as plain data for the log."""
    pieces = [
        text[start : start + MAX_PART_CHARS]
        for start in range(0, len(text), MAX_PART_CHARS)
    ]
    checksum = _checksum(text.encode())
    return [
        codec.to_plain(
            CheckpointPart(
                epoch=state.epoch,
                next_offset=state.next_offset,
                revision=state.revision,
                checksum=checksum,
                number=number,
                parts=len(pieces),
                text=piece,
            )
        )
        for number, piece in enumerate(pieces)
    ]


class PartAssembler:
    """Assemble parts and keep the newest complete checkpoint.

    Parts of several writers may be interleaved, duplicated or missing.
    """

    def __init__(self):
        self._pieces = {}
        self._newest = None

    def add(self, data):
        """Add an entry of the checkpoint stream; ignore foreign entries."""
        try:
            part = codec.from_plain(data, CheckpointPart)
        except errors.InvalidRecord:
            return
        if part.format != FORMAT or not 0 < part.parts <= MAX_PARTS:
            return
        if self._newest is not None and part.rank <= self._newest[0]:
            return
        key = (part.rank, part.checksum, part.parts)
        pieces = self._pieces.setdefault(key, {})
        pieces[part.number] = part.text
        if len(pieces) == part.parts:
            self._assemble(key, pieces)

    def _assemble(self, key, pieces):
        rank, checksum, parts = key
        text = ''.join(pieces.get(n, '') for n in range(parts))
        del self._pieces[key]
        if _checksum(text.encode()) != checksum:
            return
        self._newest = (rank, text)
        self._pieces = {
            key: pieces
            for key, pieces in self._pieces.items()
            if key[0] > rank
        }

    @property
    def text(self):
        """Return the text of the newest complete checkpoint, or None."""
        return self._newest[1] if self._newest else None

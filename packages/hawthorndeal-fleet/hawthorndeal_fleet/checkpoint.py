"""Carry the whole state as text, in parts that a log entry can hold."""

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

_DIGEST_BYTES = 16
# A higher level takes several times as long for a tenth less.
_COMPRESSION_LEVEL = 3


@attrs.frozen
class Part:
    """Hold a piece of a checkpoint.

    :ivar next_offset: the first offset that is not in the checkpoint
    :ivar checksum: of the whole text, equal in all parts
    :ivar number: place of this part, from 0
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
        """Return what is greater for a newer checkpoint."""
        return self.epoch, self.next_offset


def dump(state):
    """Return the whole state as text."""
    plain = json.dumps(statecodec.encode(state), separators=(',', ':'))
    packed = zlib.compress(plain.encode(), _COMPRESSION_LEVEL)
    return base64.b64encode(packed).decode()


def load(text):
    """Return the state that a text holds.

    :raises statecodec.InvalidCheckpoint: for anything else
    """
    try:
        unpacker = zlib.decompressobj()
        plain = unpacker.decompress(
            base64.b64decode(text, validate=True), MAX_TEXT_BYTES
        )
        if not unpacker.eof:
            raise statecodec.InvalidCheckpoint('cut off or too large')
        data = json.loads(plain)
    except (zlib.error, binascii.Error, ValueError, RecursionError) as error:
        raise statecodec.InvalidCheckpoint(repr(error)) from error
    return statecodec.restore(data)


def digest(state):
    """Return a number that is equal for equal states, in hexadecimal."""
    return _checksum(codec.canonical(statecodec.encode(state)))


def _checksum(content):
    return hashlib.blake2b(content, digest_size=_DIGEST_BYTES).hexdigest()


def split(state, text):
    """Return the parts of a state's text as plain data for the log."""
    pieces = [
        text[start : start + MAX_PART_CHARS]
        for start in range(0, len(text), MAX_PART_CHARS)
    ]
    checksum = _checksum(text.encode())
    return [
        codec.to_plain(
            Part(
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


class Collector:
    """Put parts together again and keep the newest whole checkpoint.

    Parts of several writers may stand between each other, twice, or not at
    all.
    """

    def __init__(self):
        self._pieces = {}
        self._whole = None

    def add(self, data):
        """Take in an entry of the checkpoint stream; foreign ones are left."""
        try:
            part = codec.from_plain(data, Part)
        except errors.InvalidRecord:
            return
        if part.format != FORMAT or not 0 < part.parts <= MAX_PARTS:
            return
        if self._whole is not None and part.rank <= self._whole[0]:
            return
        key = (part.rank, part.checksum, part.parts)
        pieces = self._pieces.setdefault(key, {})
        pieces[part.number] = part.text
        if len(pieces) == part.parts:
            self._finish(key, pieces)

    def _finish(self, key, pieces):
        rank, checksum, parts = key
        text = ''.join(pieces.get(n, '') for n in range(parts))
        del self._pieces[key]
        if _checksum(text.encode()) != checksum:
            return
        self._whole = (rank, text)
        self._pieces = {
            key: pieces
            for key, pieces in self._pieces.items()
            if key[0] > rank
        }

    @property
    def text(self):
        """Return the text of the newest whole checkpoint, or None."""
        return self._whole[1] if self._whole else None

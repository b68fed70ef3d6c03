"""Convert the state to plain data and back, for any types of its fields.

Mappings keep their order, since some rules depend on the age of entries. They
are encoded as lists of pairs, so that a log that sorts the keys of JSON
objects preserves the order.
"""

import collections
import enum
import functools
import typing

import attrs

from . import checks
from . import errors
from . import state as state_module

_SOURCE = 'checkpoint'


class InvalidCheckpoint(errors.HawthorndealError):
    """A text is not a valid checkpoint."""

    reason = 'invalid_checkpoint'


def encode(value):
    """Convert a value of the state to plain data."""
    encoder = _ENCODERS.get(type(value))
    if encoder is not None:
        return encoder(value)
    if isinstance(value, enum.Enum):
        return {'e': type(value).__name__, 'v': value.value}
    if attrs.has(type(value)):
        return {'o': type(value).__name__, 'v': _encode_fields(value)}
    raise TypeError(f'no plain form for {type(value).__name__}')


def _encode_fields(value):
    return {
        name: getattr(value, name)
        if is_plain
        else encode(getattr(value, name))
        for name, is_plain in _fields(type(value))
    }


@functools.cache
def _fields(kind):
    return tuple(
        (field.name, 'is_plain' in field.metadata)
        for field in attrs.fields(kind)
        if 'is_derived' not in field.metadata
    )


def _identity(value):
    return value


_ENCODERS = {
    **dict.fromkeys((bool, int, float, str, type(None)), _identity),
    list: lambda value: [encode(item) for item in value],
    tuple: lambda value: {'t': [encode(item) for item in value]},
    set: lambda value: {'s': sorted(value)},
    frozenset: lambda value: {'f': sorted(value)},
    dict: lambda value: {
        'd': [[encode(key), encode(item)] for key, item in value.items()]
    },
    collections.deque: lambda value: {
        'q': [encode(item) for item in value],
        'v': value.maxlen,
    },
}


def decode(data):
    """Convert plain data back to a value of the state.

    Unknown fields, written by a newer version, are ignored.

    :raises InvalidCheckpoint: if the data doesn't encode such a value
    """
    try:
        return _decode(data)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise InvalidCheckpoint(f'not a state: {error!r:.200}') from error


def _decode(data):
    if isinstance(data, list):
        return [_decode(item) for item in data]
    if not isinstance(data, dict):
        return data
    tag = next(iter(data))
    return _DECODERS[tag](data)


def _decode_object(data):
    kind = _state_classes()[data['o']]
    values = data['v']
    return kind(
        **{
            name.lstrip('_'): values[name]
            if is_plain
            else _decode(values[name])
            for name, is_plain in _fields(kind)
            if name in values
        }
    )


_DECODERS = {
    'o': _decode_object,
    'e': lambda data: _state_classes()[data['e']](data['v']),
    't': lambda data: tuple(_decode(item) for item in data['t']),
    's': lambda data: set(data['s']),
    'f': lambda data: frozenset(data['f']),
    'd': lambda data: {
        _decode(key): _decode(value) for key, value in data['d']
    },
    'q': lambda data: collections.deque(
        (_decode(item) for item in data['q']), maxlen=data['v']
    ),
}


@functools.cache
def _state_classes():
    """Return all classes that the state's annotations refer to, by name."""
    found = {}
    waiting = [state_module.State]
    while waiting:
        kind = waiting.pop()
        waiting.extend(typing.get_args(kind))
        if not isinstance(kind, type) or kind.__name__ in found:
            continue
        if attrs.has(kind):
            found[kind.__name__] = kind
            waiting.extend(typing.get_type_hints(kind).values())
        elif issubclass(kind, enum.Enum):
            found[kind.__name__] = kind
    return found


def restore(data):
    """Decode a whole state and rebuild its derived fields.

    :raises InvalidCheckpoint: if the data doesn't encode a valid state
    """
    state = decode(data)
    if not isinstance(state, state_module.State):
        raise InvalidCheckpoint(f'not a state: {type(state).__name__}')
    try:
        fleet = checks.fleet_from_document(state.document, _SOURCE)
    except errors.InvalidFile as error:
        raise InvalidCheckpoint(str(error)) from error
    state.replace_fleet(fleet)
    return state

"""Convert the state to plain data and back, whatever its fields hold.

Containers keep their order, since some rules go by age; a log that sorts the
keys of JSON objects must not change it, so pairs stand in lists.
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
    """Report text that is no checkpoint of ours."""

    reason = 'invalid_checkpoint'


def encode(value):
    """Return plain data for a value of the state."""
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


def _same(value):
    return value


_ENCODERS = {
    **dict.fromkeys((bool, int, float, str, type(None)), _same),
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
    """Return the value that plain data stands for.

    Fields that this version doesn't know are left out.

    :raises InvalidCheckpoint: when it is no value of the state
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
    kind = _classes()[data['o']]
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
    'e': lambda data: _classes()[data['e']](data['v']),
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
def _classes():
    """Return the classes that the state's annotations name."""
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
    """Return the whole state, with all that follows from its fields.

    :raises InvalidCheckpoint: when it is no state
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

"""Convert attrs classes to plain JSON data and back, strictly."""

import enum
import json

import cattrs
from cattrs import errors as cattrs_errors

from . import errors


def _strict(expected, accepted):
    def structure(value, _type):
        is_accepted = isinstance(value, accepted)
        if not is_accepted or (
            expected is not bool and isinstance(value, bool)
        ):
            raise ValueError(
                f'expected {expected.__name__}, got {value!r:.80}'
            )
        return expected(value)

    return structure


def _structure_enum(value, kind):
    allowed = [member.value for member in kind]
    if value not in allowed:
        raise ValueError(f'expected one of {allowed}, got {value!r:.80}')
    return kind(value)


def _make_converter(forbids_extra_keys, omits_defaults=False):
    converter = cattrs.Converter(
        forbid_extra_keys=forbids_extra_keys, omit_if_default=omits_defaults
    )
    converter.register_structure_hook(int, _strict(int, int))
    converter.register_structure_hook(float, _strict(float, (int, float)))
    converter.register_structure_hook(str, _strict(str, str))
    converter.register_structure_hook(bool, _strict(bool, bool))
    converter.register_structure_hook_func(
        lambda kind: isinstance(kind, type) and issubclass(kind, enum.Enum),
        _structure_enum,
    )
    return converter


# Files are written by people, so a misspelt key must be refused. Messages
# come from other versions of the project, so unknown fields are let through.
_FILES = _make_converter(True)
_MESSAGES = _make_converter(False)
_COMPACT = _make_converter(False, omits_defaults=True)


def canonical(data):
    """Encode plain data so that equal data gives equal bytes.

    :param data: plain JSON data
    :returns: UTF-8 bytes
    """
    return json.dumps(
        data, sort_keys=True, separators=(',', ':'), ensure_ascii=False
    ).encode()


def to_plain(value):
    """Return plain JSON data for an attrs object."""
    return _MESSAGES.unstructure(value)


def to_compact(value):
    """Return plain JSON data without the fields that have their default."""
    return _COMPACT.unstructure(value)


def from_plain(data, kind):
    """Return an attrs object from plain data of another process.

    :raises errors.InvalidRecord: when the data doesn't fit the class
    """
    try:
        return _MESSAGES.structure(data, kind)
    except (cattrs_errors.BaseValidationError, *_PLAIN_FAILURES) as error:
        raise errors.InvalidRecord(
            f'not a {kind.__name__}: {_first_message(error)}'
        ) from error


def from_text(text, kind):
    """Return an attrs object from JSON text of another process.

    :raises errors.InvalidRecord: when the text doesn't fit the class
    """
    try:
        return from_plain(json.loads(text), kind)
    except (ValueError, RecursionError) as error:
        raise errors.InvalidRecord(f'not JSON: {error!r:.80}') from error


def from_file(data, kind, source):
    """Return an attrs object from the plain data of a file.

    :param source: the file's name, for the problems
    :raises errors.InvalidFile: with every problem found
    """
    try:
        return _FILES.structure(data, kind)
    except cattrs_errors.BaseValidationError as error:
        raise errors.InvalidFile(_problems(error, source)) from error
    except _PLAIN_FAILURES as error:
        raise errors.InvalidFile(
            [errors.Problem(source, '(top)', str(error))]
        ) from error


_PLAIN_FAILURES = (ValueError, TypeError, KeyError, AttributeError)


def _first_message(error):
    if isinstance(error, cattrs_errors.BaseValidationError):
        return _messages(error)[0]
    return str(error)


def _messages(error):
    return cattrs.transform_error(error, format_exception=_describe)


def _describe(error, kind):
    # The library's own words leave out the offending value.
    if isinstance(error, ValueError):
        return str(error)
    return cattrs.v.format_exception(error, kind)


def _problems(error, source):
    return [_problem(message, source) for message in _messages(error)]


def _problem(text, source):
    message, _, path = text.rpartition(' @ ')
    return errors.Problem(source, path.removeprefix('$.') or '(top)', message)

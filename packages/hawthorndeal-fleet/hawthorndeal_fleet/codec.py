"""Convert attrs classes to plain JSON data and back, strictly."""

import enum
import json

import cattrs
from cattrs import errors as cattrs_errors

from . import errors


def _strict_hook(expected, accepted):
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
    converter.register_structure_hook(int, _strict_hook(int, int))
    converter.register_structure_hook(float, _strict_hook(float, (int, float)))
    converter.register_structure_hook(str, _strict_hook(str, str))
    converter.register_structure_hook(bool, _strict_hook(bool, bool))
    converter.register_structure_hook_func(
        lambda kind: isinstance(kind, type) and issubclass(kind, enum.Enum),
        _structure_enum,
    )
    return converter


# Files are written by people, so unknown keys are refused as misspelt.
# Messages come from other versions of the project, so unknown fields are
# ignored.
_FILE_CONVERTER = _make_converter(True)
_MESSAGE_CONVERTER = _make_converter(False)
_COMPACT_CONVERTER = _make_converter(False, omits_defaults=True)


def canonical(data):
    """Encode plain data canonically: equal data gives equal bytes.

    :param data: plain JSON data
    :returns: UTF-8 bytes
    """
    return json.dumps(
        data, sort_keys=True, separators=(',', ':'), ensure_ascii=False
    ).encode()


def to_plain(value):
    """Convert an attrs object to plain JSON data."""
    return _MESSAGE_CONVERTER.unstructure(value)


def to_compact(value):
    """Convert an attrs object to plain JSON data, without default values."""
    return _COMPACT_CONVERTER.unstructure(value)


def from_plain(data, kind):
    """Convert plain data from another process to an attrs object.

    :raises errors.InvalidRecord: if the data doesn't match the class
    """
    try:
        return _MESSAGE_CONVERTER.structure(data, kind)
    except (cattrs_errors.BaseValidationError, *_STRUCTURE_ERRORS) as error:
        raise errors.InvalidRecord(
            f'not a {kind.__name__}: {_first_message(error)}'
        ) from error


def from_text(text, kind):
    """Convert JSON text from another process to an attrs object.

    :raises errors.InvalidRecord: if the text doesn't match the class
    """
    try:
        return from_plain(json.loads(text), kind)
    except (ValueError, RecursionError) as error:
        raise errors.InvalidRecord(f'not JSON: {error!r:.80}') from error


def from_file(data, kind, source):
    """Convert the plain data of a file to an attrs object.

    :param source: file name to report in problems
    :raises errors.InvalidFile: with all problems found
    """
    try:
        return _FILE_CONVERTER.structure(data, kind)
    except cattrs_errors.BaseValidationError as error:
        raise errors.InvalidFile(_problems(error, source)) from error
    except _STRUCTURE_ERRORS as error:
        raise errors.InvalidFile(
            [errors.Problem(source, '(top)', str(error))]
        ) from error


_STRUCTURE_ERRORS = (ValueError, TypeError, KeyError, AttributeError)


def _first_message(error):
    if isinstance(error, cattrs_errors.BaseValidationError):
        return _error_messages(error)[0]
    return str(error)


def _error_messages(error):
    return cattrs.transform_error(error, format_exception=_format_exception)


def _format_exception(error, kind):
    # The messages of cattrs don't include the offending value.
    if isinstance(error, ValueError):
        return str(error)
    return cattrs.v.format_exception(error, kind)


def _problems(error, source):
    return [_problem(message, source) for message in _error_messages(error)]


def _problem(text, source):
    message, _, path = text.rpartition(' @ ')
    return errors.Problem(source, path.removeprefix('$.') or '(top)', message)

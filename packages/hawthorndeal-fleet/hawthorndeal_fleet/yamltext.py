"""Parse YAML text into plain data and refuse common mistakes."""

import yaml

from . import errors

MAX_TEXT_BYTES = 16 * 1024 * 1024

# The C loader is several times faster on large fleet files.
_BaseLoader = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)


class _DuplicateKey(yaml.MarkedYAMLError):
    """A key occurs twice in the same mapping."""


class _Loader(_BaseLoader):
    """Load plain data and refuse duplicate keys."""

    def construct_mapping(self, node, deep=False):
        """Return the mapping of a node, whose keys must be unique."""
        seen = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if key in seen:
                raise _DuplicateKey(
                    problem=f'duplicate key {key!r}',
                    problem_mark=key_node.start_mark,
                )
            seen.add(key)
        return super().construct_mapping(node, deep=deep)


def parse(text, source):
    """Return the mapping that a YAML text contains.

    :param text: content of the file, as bytes
    :param source: file name to report in problems
    :raises errors.InvalidFile: if it is not a single mapping of plain data
    """
    if len(text) > MAX_TEXT_BYTES:
        raise _invalid_file(
            source,
            f'{len(text)} bytes, more than the limit of {MAX_TEXT_BYTES}',
        )
    try:
        # yaml.load is safe here, since the loader derives from SafeLoader.
        data = yaml.load(text, Loader=_Loader)  # nosec
    except (yaml.YAMLError, UnicodeDecodeError, ValueError) as error:
        raise _invalid_file(source, _describe_error(error)) from error
    except (RecursionError, TypeError) as error:
        raise _invalid_file(source, f'not plain data: {error}') from error
    if not isinstance(data, dict) or not data:
        raise _invalid_file(source, f'expected a mapping, got {data!r:.80}')
    return data


def _invalid_file(source, message):
    return errors.InvalidFile([errors.Problem(source, '(top)', message)])


def _describe_error(error):
    mark = getattr(error, 'problem_mark', None)
    problem = getattr(error, 'problem', None) or str(error)
    where = f'line {mark.line + 1}: ' if mark else ''
    return where + ' '.join(str(problem).split())

"""Parse YAML text into plain data, refusing what people get wrong."""

import yaml

from . import errors

MAX_TEXT_BYTES = 16 * 1024 * 1024

# The C loader is several times faster on a large fleet file.
_BaseLoader = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)


class _DuplicateKey(yaml.MarkedYAMLError):
    """Report a key that stands twice in one mapping."""


class _Loader(_BaseLoader):
    """Load plain data and refuse duplicate keys."""

    def construct_mapping(self, node, deep=False):
        """Return the mapping of a node whose keys all differ."""
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
    """Return the mapping that a YAML text holds.

    :param text: the whole text, as bytes
    :param source: the file's name, for the problems
    :raises errors.InvalidFile: when it isn't one mapping of plain data
    """
    if len(text) > MAX_TEXT_BYTES:
        raise _refusal(
            source,
            f'{len(text)} bytes, more than the {MAX_TEXT_BYTES} allowed',
        )
    try:
        # yaml.load is safe here: the loader derives from the safe one.
        data = yaml.load(text, Loader=_Loader)  # nosec
    except (yaml.YAMLError, UnicodeDecodeError, ValueError) as error:
        raise _refusal(source, _one_line(error)) from error
    except (RecursionError, TypeError) as error:
        raise _refusal(source, f'not plain data: {error}') from error
    if not isinstance(data, dict) or not data:
        raise _refusal(source, f'expected a mapping, got {data!r:.80}')
    return data


def _refusal(source, message):
    return errors.InvalidFile([errors.Problem(source, '(top)', message)])


def _one_line(error):
    mark = getattr(error, 'problem_mark', None)
    problem = getattr(error, 'problem', None) or str(error)
    where = f'line {mark.line + 1}: ' if mark else ''
    return where + ' '.join(str(problem).split())

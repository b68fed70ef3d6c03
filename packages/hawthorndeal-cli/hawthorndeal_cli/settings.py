"""Settings of the command line."""

import attrs

from hawthorndeal_fleet import checks
from hawthorndeal_fleet import codec
from hawthorndeal_fleet import errors
from hawthorndeal_fleet import yamltext


@attrs.frozen
class Settings:
    """Settings of the command line.

    :ivar daemons: control addresses of entry hosts, tried in order
    """

    daemons: list[str]
    token: str = attrs.field(default='', repr=False)
    call_timeout_s: float = 15.0


def parse(text, source):
    """Parse and validate settings in YAML.

    :raises errors.InvalidFile: with every problem found
    """
    settings = codec.from_file(yamltext.parse(text, source), Settings, source)
    problems = [
        errors.Problem(
            source, f'daemons[{i}]', f'expected IP:PORT, got {address!r}'
        )
        for i, address in enumerate(settings.daemons)
        if not checks.is_address(address)
    ]
    if problems:
        raise errors.InvalidFile(problems)
    return settings

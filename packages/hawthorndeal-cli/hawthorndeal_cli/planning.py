"""Show what an apply would change, and whether budgets allow its waves."""

import attrs

from hawthorndeal_fleet import budget
from hawthorndeal_fleet import checks
from hawthorndeal_fleet import document
from hawthorndeal_fleet import model
from hawthorndeal_fleet import state as state_module
from hawthorndeal_fleet import waves

from . import command
from . import failures


class Plan(command.Command):
    """Show what an apply would change and what its waves may do."""

    name = 'plan'
    summary = 'show what an apply would change, and if budgets allow its waves'
    example = 'hawthorndeal plan fleet.yaml'

    def add_arguments(self, parser):
        """Declare the file."""
        parser.add_argument('file', help='the fleet file')

    def run(self, options):
        """Return the entries that differ, and a verdict on each wave.

        :raises failures.WavesRefused: when a wave could never finish
        """
        new = command.read_fleet(options.file)
        _, old = command.current(command.make_client(options))
        verdicts = judge_waves(checks.fleet_from_document(new, options.file))
        result = {
            'changes': changes(old, new),
            'waves': [attrs.asdict(verdict) for verdict in verdicts],
        }
        stuck = [verdict.wave for verdict in verdicts if verdict.refused]
        if stuck:
            raise failures.WavesRefused(
                f'budgets never allow wave {", ".join(stuck)} to finish',
                'raise max_unavailable, lower survive, or take the hosts out',
                result=result,
            )
        return result


def changes(old, new):
    """Return a row for each entry in which two documents differ."""
    return [
        {'change': change, 'section': section, 'name': name}
        for section, patch in document.diff(old, new).items()
        for name, change in _section_changes(old.get(section), patch)
    ]


def _section_changes(old, patch):
    if not isinstance(patch, dict):
        return [('-', 'remove' if patch is None else 'replace')]
    known = old or {}
    return [
        (name, _verb(name in known, value)) for name, value in patch.items()
    ]


def _verb(is_known, value):
    if value is None:
        return 'remove'
    return 'change' if is_known else 'add'


@attrs.frozen
class WaveVerdict:
    """Tell whether budgets let a wave finish while nothing else is down.

    :ivar hosts: how many hosts it works on
    :ivar at_once: how many of them, in file order, may be away together
    :ivar refused: the hosts that could never be taken away
    :ivar reason: why the first of them could not
    """

    wave: str
    state: str
    hosts: int
    at_once: int
    refused: list[str]
    reason: str


def judge_waves(fleet):
    """Return a verdict on each wave of a fleet that isn't cancelled."""
    return [
        _judge(fleet, name, wave)
        for name, wave in fleet.waves.items()
        if wave.state is not model.WaveState.CANCELLED
    ]


def _judge(fleet, name, wave):
    state = state_module.State(fleet=fleet)
    hosts = waves.waiting_hosts(state, name)
    refusals = {
        host: budget.refuse_disruption(state, host, wave.expected_s)
        for host in hosts
    }
    refused = [host for host in hosts if refusals[host]]
    allowance = budget.Allowance(state)
    return WaveVerdict(
        wave=name,
        state=wave.state.value,
        hosts=len(hosts),
        at_once=sum(allowance.take(host) is None for host in hosts),
        refused=refused,
        reason=refusals[refused[0]] if refused else '',
    )

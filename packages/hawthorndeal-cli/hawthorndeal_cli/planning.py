"""The ``plan`` command.

It shows what an apply would change, and whether disruption budgets allow its
waves to finish.
"""

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
    """Show what an apply would change, and if budgets allow its waves."""

    name = 'plan'
    summary = 'show what an apply would change, and if budgets allow its waves'
    example = 'hawthorndeal plan fleet.yaml'

    def add_arguments(self, parser):
        """Add the arguments of the command to a parser."""
        parser.add_argument('file', help='the fleet file')

    def run(self, options):
        """Return the changed entries, and a verdict on each wave.

        :raises failures.WavesRefused: if a wave could never finish
        """
        new = command.read_fleet(options.file)
        _, old = command.fetch_current(command.make_client(options))
        verdicts = evaluate_waves(
            checks.fleet_from_document(new, options.file)
        )
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
    """Return a row for each entry that differs between two documents."""
    return [
        {'change': change, 'section': section, 'name': name}
        for section, patch in document.diff(old, new).items()
        for name, change in _section_changes(old.get(section), patch)
    ]


def _section_changes(old, patch):
    if not isinstance(patch, dict):
        return [('-', 'remove' if patch is None else 'replace')]
    old_entries = old or {}
    return [
        (name, _change_kind(name in old_entries, value))
        for name, value in patch.items()
    ]


def _change_kind(is_known, value):
    if value is None:
        return 'remove'
    return 'change' if is_known else 'add'


@attrs.frozen
class WaveVerdict:
    """Whether budgets let a wave finish, provided nothing else is down.

    :ivar hosts: number of hosts in the wave
    :ivar at_once: number of hosts that may be disrupted at the same time,
        taken in file order
    :ivar refused: hosts that can never be disrupted
    :ivar reason: why the first of the refused hosts can't be disrupted
    """

    wave: str
    state: str
    hosts: int
    at_once: int
    refused: list[str]
    reason: str


def evaluate_waves(fleet):
    """Return a verdict on each wave that isn't cancelled."""
    return [
        _evaluate_wave(fleet, name, wave)
        for name, wave in fleet.waves.items()
        if wave.state is not model.WaveState.CANCELLED
    ]


def _evaluate_wave(fleet, name, wave):
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

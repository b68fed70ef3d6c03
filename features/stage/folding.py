"""Fold records into a state without a log."""

from hawthorndeal_fleet import configuration
from hawthorndeal_fleet import document
from hawthorndeal_fleet import fold
from hawthorndeal_fleet import records
from hawthorndeal_fleet import state as state_module

START_S = 1_000_000.0
HOST = 'portal-h1'
KEY = 'vltava/portal/1'
HOLDER = 'a'


def joined(name):
    """Return a join of a daemon whose incarnation is its name."""
    return records.DaemonJoined(
        incarnation=name,
        daemon=f'entry-{name}',
        zone='cz-a',
        address='127.0.0.1:1',
    )


def reported(is_up=False):
    """Return a report about a host of Vltava."""
    return records.HostReported(HOST, is_up, 'a')


def claimed(key=KEY):
    """Return a claim on a request."""
    return records.RequestClaimed(key, START_S + 60.0, HOLDER)


def patched(state, patch):
    """Return an apply of a merge patch on the document in force."""
    result = document.merge(state.document, patch)
    fingerprint = document.updated_fingerprint(
        state.fingerprint, state.document, result, patch
    )
    return records.ConfigApplied(
        apply_id=f'apply-{state.next_offset}',
        operator='ops',
        base_revision=state.revision,
        delta=patch,
        digest=format(fingerprint, 'x'),
    )


def encode(body, record_id, writer='a', stamp_s=START_S):
    """Return the plain data of a record."""
    return records.encode(
        records.Record(
            record_id=record_id, writer=writer, stamp_s=stamp_s, body=body
        )
    )


class Folded:
    """Keep a state and fold records into it at the next offset.

    :param state: the state to begin with; an empty one where None
    """

    def __init__(self, state=None):
        self.state = state or state_module.State()

    def add_data(self, data):
        """Fold plain data and return the decision."""
        return fold.fold(self.state, self.state.next_offset, data)

    def add(self, body, **envelope):
        """Fold a body as a record of its own and return the decision."""
        record_id = f'record-{self.state.next_offset}'
        return self.add_data(encode(body, record_id, **envelope))

    def apply(self, new):
        """Fold an apply of a whole document."""
        state = self.state
        body = configuration.make_config_applied(
            state.document,
            state.revision,
            new,
            f'apply-{state.next_offset}',
            'ops',
        )
        decision = self.add(body)
        assert decision.is_accepted, decision

"""Builders for records, and folding of records without a log."""

from hawthorndeal_fleet import configuration
from hawthorndeal_fleet import document
from hawthorndeal_fleet import fold
from hawthorndeal_fleet import records
from hawthorndeal_fleet import state as state_module

START_S = 1_000_000.0
HOST = 'portal-h1'
KEY = 'vltava/portal/1'
HOLDER = 'a'


def make_daemon_joined(name):
    """Return a join record of a daemon whose incarnation is its name."""
    return records.DaemonJoined(
        incarnation=name,
        daemon=f'entry-{name}',
        zone='cz-a',
        address='127.0.0.1:1',
    )


def make_host_reported(is_up=False):
    """Return a health report for the host ``HOST``."""
    return records.HostReported(HOST, is_up, 'a')


def make_request_claimed(key=KEY):
    """Return a claim on a request that expires after 60 s."""
    return records.RequestClaimed(key, START_S + 60.0, HOLDER)


def make_patch_applied(state, patch):
    """Return an apply record for a merge patch of the current document."""
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
    """Return a record as plain data."""
    return records.encode(
        records.Record(
            record_id=record_id, writer=writer, stamp_s=stamp_s, body=body
        )
    )


class FoldedState:
    """A state that records are folded into at consecutive offsets.

    :param state: initial state; empty if None
    """

    def __init__(self, state=None):
        self.state = state or state_module.State()

    def add_data(self, data):
        """Fold an encoded record and return the decision."""
        return fold.fold(self.state, self.state.next_offset, data)

    def add(self, body, **envelope):
        """Fold a body as a new record and return the decision."""
        record_id = f'record-{self.state.next_offset}'
        return self.add_data(encode(body, record_id, **envelope))

    def apply(self, new):
        """Fold the apply of a complete document."""
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

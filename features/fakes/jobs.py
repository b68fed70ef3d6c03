"""Test fixtures for records about jobs: a fleet, a state and commands."""

from hawthorndeal_fleet import fold
from hawthorndeal_fleet import job_records
from hawthorndeal_fleet import jobs
from hawthorndeal_fleet import model
from hawthorndeal_fleet import records
from hawthorndeal_fleet import state as state_module

GIB = 1024**3
START_S = 1_000_000.0


def make_host(pool='p', zone='z1', rack='r1', cpu_cores=8):
    """Return a declared host with 2 GiB of memory per core."""
    return model.Host(
        pool=pool,
        zone=zone,
        rack=rack,
        cpu_cores=cpu_cores,
        memory_bytes=2 * GIB * cpu_cores,
    )


def make_fleet():
    """Return a fleet with two pools of 8-core hosts and two workspaces."""
    racks = {'h1': 'r1', 'h2': 'r1', 'h3': 'r2', 'h4': 'r2'}
    hosts = {name: make_host(rack=rack) for name, rack in racks.items()}
    quotas = {
        'w': model.Quota(cpu_cores=24),
        'v': model.Quota(cpu_cores=8, accelerators=0),
    }
    return model.Fleet(
        zones={'z1': model.Zone('r')},
        pools={'p': model.Pool(), 'q': model.Pool()},
        hosts={**hosts, 'g1': make_host('q')},
        workspaces={n: model.Workspace(quota=q) for n, q in quotas.items()},
        waves={'wave': model.Wave(pools=['p', 'q'])},
    )


def make_state(fleet=None, daemons=('d1', 'd2')):
    """Return a state with a fleet in force and joined daemons."""
    state = state_module.State(revision=1, fleet=fleet or make_fleet())
    for name in daemons:
        body = records.DaemonJoined(name, name, 'z1', '127.0.0.1:1')
        fold_body(state, body, START_S)
    return state


def fold_body(state, body, now_s, record_id=''):
    """Fold one record and return the decision."""
    offset = state.next_offset
    record = records.Record(
        record_id or f'r{offset}', f'writer-{offset % 2}', now_s, body
    )
    return fold.fold(state, offset, records.encode(record))


def submitted(job_id, now_s, **options):
    """Return the record body that submits a job.

    :param options: fields that differ from the defaults, a job of 4 cores
    """
    defaults = {
        'workspace': 'w',
        'pool': 'p',
        'cpu_cores': 4.0,
        'memory_bytes': GIB,
        'submitted_s': now_s,
    }
    return job_records.JobSubmitted(job_id, **{**defaults, **options})


class Bench:
    """Folds records given as commands such as ``place a h1 by=d2``.

    The method ``_VERB`` returns the record body of the command ``VERB``.
    """

    def __init__(self):
        self.state = make_state()
        self.now_s = START_S
        self._bodies = []

    def run(self, words):
        """Fold the record of one command and return the decision."""
        verb, *rest = words
        options = dict(w.split('=') for w in rest if '=' in w)
        names = [word for word in rest if '=' not in word]
        body = getattr(self, f'_{verb}')(*names, **options)
        self._bodies.append(body)
        return fold_body(self.state, body, self.now_s)

    def _again(self):
        return self._bodies[-1]

    def _repeat(self, number):
        return self._bodies[int(number)]

    def _wait(self, seconds):
        # Log time advances only with records, here one of another daemon.
        self.now_s += float(seconds)
        return job_records.HolderRenewed('d2')

    def _submit(self, name, cpu='4', gpu='0', w='w', pool='p', ago='0'):
        return submitted(
            name,
            self.now_s - float(ago),
            workspace=w,
            pool=pool,
            cpu_cores=float(cpu),
            accelerators=int(gpu),
        )

    def _place(self, name, host, by='d1'):
        job = self.state.jobs.get(name)
        queued_offset = job.queued_offset if job else -1
        return job_records.JobPlaced(name, host, by, queued_offset)

    def _lease(self, name):
        job = self.state.jobs.get(name)
        return job.lease if job else 10**6

    def _step(self, name, step, by='d1', seen=None):
        step = job_records.JobStep(step)
        seen = self.state.next_offset if seen is None else int(seen)
        return job_records.JobStepped(
            name, self._lease(name), step, by, seen_offset=seen
        )

    def _end(self, name, outcome, lease=None):
        outcome = job_records.JobOutcome(outcome)
        lease = self._lease(name) if lease is None else int(lease)
        return job_records.JobEnded(name, lease, outcome, 'd1')

    def _cancel(self, name, w='w'):
        return job_records.JobCancelled(name, w)

    def _renew(self, holder):
        return job_records.HolderRenewed(holder)

    def _take(self, lost, by):
        return job_records.JobsTaken('p', lost, by)

    def _leave(self, daemon):
        return records.DaemonLeft(daemon)

    def _disrupt(self, host):
        return records.DisruptionAsked(host, 'wave', 'd1')

    def _down(self, host):
        return records.HostReported(host, False, 'd1')

    def describe(self, name):
        """Return the status of a job, with its host or outcome, as text."""
        job = self.state.jobs.get(name)
        if job is not None:
            place = f' on {job.host}' if job.host else ''
            return f'{job.status.value}{place}'
        ended = self.state.ended_jobs.get(name)
        if ended is None:
            return 'unknown'
        is_refused = ended.outcome is job_records.JobOutcome.REFUSED
        reason = f' {ended.refusal.value}' if is_refused else ''
        return f'{ended.outcome.value}{reason}'

    def check_ledger(self):
        """Check the ledger of the current state."""
        check_ledger(self.state)


def check_ledger(state):
    """Check that the ledger matches all jobs and fits each host's capacity.

    The ledger is updated incrementally; it is compared with a recomputed one.
    """
    recomputed = jobs.Ledger()
    for job in state.jobs.values():
        recomputed.add(job)
    assert state.ledger == recomputed, (state.ledger, recomputed)
    for name in state.ledger.used:
        used = state.ledger.used[name]
        capacity = jobs.capacity_of(state.fleet.hosts[name])
        assert used.fits(capacity), (name, used)

"""Play a load of several workspaces that share a pool."""

import itertools

import attrs

from hawthorndeal_jobs import workspaces
from stage import queue_load

WORKSPACES = 10
# Jobs per second that are owed to a workspace, as a multiple of its usual.
WEIGHT_FACTOR = 1.9


class SharedLoad(queue_load.QueueLoad):
    """A pool whose workspaces all send the same usual load.

    :param usual: load of all workspaces, as a multiple of what the pool can
        do
    :param hot: number of workspaces that send several times their usual
    :param factor: how many times their usual
    """

    def __init__(self, seed, usual, hot, factor, hosts=8):
        self._names = [f'w{number}' for number in range(WORKSPACES)]
        super().__init__(seed, hosts)
        self._rate = usual * self.jobs_per_s() / WORKSPACES
        self._scheduler.set_configuration(
            attrs.evolve(
                queue_load.CONFIGURATION,
                workspaces={
                    name: workspaces.Workspace(
                        name, weight=self._rate * WEIGHT_FACTOR
                    )
                    for name in self._names
                },
            )
        )
        self.hot = frozenset(self._names[:hot])
        self._factor = factor

    def submit_all(self, seconds):
        """Submit the jobs of all workspaces at random times."""
        for name in self._names:
            rate = self._rate * (self._factor if name in self.hot else 1.0)
            at_s, end_s = self.now_s, self.now_s + seconds
            for _ in itertools.count():
                at_s += self._rng.expovariate(rate)
                if at_s >= end_s:
                    break
                played = self._make_job(at_s)
                played.job.workspace = name
                self._at(at_s, self._submit, played)

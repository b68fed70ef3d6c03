"""The part of the configuration that jobs depend on."""

import attrs


@attrs.frozen
class Advice:
    """Tell that only some executors may run a queue's steps."""

    decision_s: float = 0.0
    per_executor_s: float = 0.0
    validity_s: float = 0.0


@attrs.frozen
class Queue:
    """Hold one queue that callers submit jobs to.

    :ivar pool: pool whose executors run its tasks
    :ivar host_name: name that callers address it by
    :ivar path_prefix: what paths of the queue begin with
    :ivar priority: 0 goes first
    :ivar max_attempts: failed runs of one task until its job has failed
    :ivar stretch: how much longer than its work a job may take
    :ivar latency_target_s: added to the stretched work
    :ivar advice: set where a service says which executors may run a step
    """

    name: str
    pool: str
    host_name: str = ''
    path_prefix: str = ''
    priority: int = 0
    max_attempts: int = 3
    stretch: float = 1.0
    latency_target_s: float = 1.0
    advice: Advice | None = None


@attrs.frozen
class Pool:
    """Hold one pool of hosts.

    :ivar is_standby: whether its hosts are off, and cost nothing
    """

    name: str
    is_standby: bool = False
    rejects_overload: bool = False


@attrs.frozen
class Wave:
    """Ask for maintenance of hosts.

    :ivar duration_s: time for the whole wave
    :ivar max_count: hosts down at once for it
    """

    number: int
    hosts: tuple[str, ...]
    duration_s: float
    max_count: int


@attrs.frozen
class Configuration:
    """Hold one version of queues and pools.

    :ivar queues: by name
    :ivar pools: by name
    """

    version: int
    queues: dict[str, Queue]
    pools: dict[str, Pool]
    max_body_bytes: int = 1024 * 1024
    _by_host: dict = attrs.field(init=False, repr=False, eq=False)

    def __attrs_post_init__(self):
        by_host = {}
        for queue in self.queues.values():
            by_host.setdefault(queue.host_name, []).append(queue)
        for queues in by_host.values():
            queues.sort(key=lambda queue: -len(queue.path_prefix))
        object.__setattr__(self, '_by_host', by_host)

    def find_queue(self, host_name, path):
        """Return the queue with the longest prefix of a path, or None."""
        for queue in self._by_host.get(host_name, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None

"""Queues, pools, workspaces and waves from the configuration."""

import attrs

from . import workspaces as workspaces_module

# How long callers wait for an answer where the configuration says nothing.
CALLER_TIMEOUT_S = 3.0


@attrs.frozen
class Advice:
    """Settings of the service that decides which executors may run steps.

    :ivar validity_s: how long a permission is valid
    """

    decision_s: float = 0.0
    per_executor_s: float = 0.0
    validity_s: float = 0.0


@attrs.frozen
class QueueTerms:
    """What a queue promises to the jobs that it accepts.

    They are stored with each job, since the queue may be removed while its
    jobs go on; see :class:`Queue`.
    """

    priority: int = 0
    max_attempts: int = 3
    stretch: float = 1.0
    latency_target_s: float = 1.0
    advice: Advice | None = None


@attrs.frozen
class Queue:
    """A queue that clients submit jobs to.

    :ivar pool: pool whose executors run its tasks
    :ivar host_name: host name of requests to the queue
    :ivar path_prefix: path prefix of requests to the queue
    :ivar priority: placement priority; 0 is the highest
    :ivar max_attempts: number of failed runs of a task that fails its job
    :ivar stretch: factor on a job's critical path in its objective
    :ivar latency_target_s: constant part of a job's objective
    :ivar advice: settings of the advice service, or None if not used
    :ivar is_public: whether calls need no key
    :ivar timeout_s: how long its callers wait for an answer
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
    is_public: bool = True
    timeout_s: float = CALLER_TIMEOUT_S

    @property
    def terms(self):
        """What the queue promises to the jobs that it accepts."""
        names = (field.name for field in attrs.fields(QueueTerms))
        return QueueTerms(**{name: getattr(self, name) for name in names})

    @classmethod
    def removed(cls, name, pool, terms):
        """Return a queue that the configuration does not hold any more.

        :param terms: what it promised to a job
        """
        return cls(name, pool, **attrs.asdict(terms, recurse=False))


@attrs.frozen
class Pool:
    """A pool of hosts.

    :ivar is_standby: whether its hosts are powered off and free of charge
    """

    name: str
    is_standby: bool = False
    rejects_overload: bool = False


@attrs.frozen
class Wave:
    """A request to maintain a set of hosts.

    :ivar duration_s: time limit for the whole wave
    :ivar max_count: maximum number of hosts in maintenance at once
    """

    number: int
    hosts: tuple[str, ...]
    duration_s: float
    max_count: int


@attrs.frozen
class Configuration:
    """One version of the queues, pools and workspaces.

    :ivar queues: queues by name
    :ivar pools: pools by name
    :ivar workspaces: workspaces by name
    """

    version: int
    queues: dict[str, Queue]
    pools: dict[str, Pool]
    max_body_bytes: int = 1024 * 1024
    workspaces: dict[str, workspaces_module.Workspace] = attrs.Factory(dict)
    _by_host: dict = attrs.field(init=False, repr=False, eq=False)
    # Name of the workspace of each digest of a key.
    _by_key: dict = attrs.field(init=False, repr=False, eq=False)

    def __attrs_post_init__(self):
        by_key = {
            digest: workspace.name
            for workspace in self.workspaces.values()
            for digest in workspace.key_digests
        }
        object.__setattr__(self, '_by_key', by_key)
        by_host = {}
        for queue in self.queues.values():
            by_host.setdefault(queue.host_name, []).append(queue)
        for queues in by_host.values():
            queues.sort(key=lambda queue: -len(queue.path_prefix))
        object.__setattr__(self, '_by_host', by_host)

    def workspace_of_key(self, digest):
        """Return the workspace that a key belongs to, or an empty string.

        Digests are looked up, so that the time taken tells nothing of a key.
        """
        return self._by_key.get(digest, '')

    def find_queue(self, host_name, path):
        """Return the queue with the longest matching path prefix, or None."""
        for queue in self._by_host.get(host_name, ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None

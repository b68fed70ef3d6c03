"""What a workspace may have placed at once, by declared size."""

from . import jobs as jobs_module


def room_of(state, workspace):
    """Return how much more a workspace may have placed."""
    used = state.ledger.quota_used.get(workspace, jobs_module.Size())
    return _limit(state, workspace, used).minus(used)


def refuse(state, workspace, size):
    """Return why a quota leaves no room for a size now, or None."""
    if size.fits(room_of(state, workspace)):
        return None
    return f'workspace {workspace!r} has used its quota'


def is_over_alone(state, workspace, size):
    """Tell whether a size is over the quota with nothing else placed."""
    return not size.fits(_limit(state, workspace, size))


def _limit(state, workspace, size):
    declared = state.fleet.workspaces.get(workspace)
    if declared is None:
        return jobs_module.Size()
    quota = declared.quota
    # There is no quota on memory, so there is always room for it.
    return jobs_module.Size(
        quota.cpu_cores * jobs_module.MILLICORES_PER_CORE,
        size.memory_bytes + _ANY_MEMORY_BYTES,
        quota.accelerators,
    )


_ANY_MEMORY_BYTES = 1 << 60

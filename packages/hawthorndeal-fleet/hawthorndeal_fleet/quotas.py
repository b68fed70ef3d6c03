"""Quotas on the total declared size of a workspace's placed jobs."""

from . import jobs as jobs_module


def available_quota(state, workspace):
    """Return the size of further jobs that a workspace may have placed."""
    used = state.ledger.quota_used.get(workspace, jobs_module.Size())
    return _limit(state, workspace, used).minus(used)


def refuse(state, workspace, size):
    """Return why the quota doesn't allow a further size now, or None."""
    if size.fits(available_quota(state, workspace)):
        return None
    return f'workspace {workspace!r} has no quota left for the job'


def exceeds_quota(state, workspace, size):
    """Return whether a size exceeds the quota with nothing else placed."""
    return not size.fits(_limit(state, workspace, size))


def _limit(state, workspace, size):
    declared = state.fleet.workspaces.get(workspace)
    if declared is None:
        return jobs_module.Size()
    quota = declared.quota
    # There is no quota on memory, so any amount of it has to fit.
    return jobs_module.Size(
        quota.cpu_cores * jobs_module.MILLICORES_PER_CORE,
        size.memory_bytes + _UNLIMITED_MEMORY_BYTES,
        quota.accelerators,
    )


_UNLIMITED_MEMORY_BYTES = 1 << 60

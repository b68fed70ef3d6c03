"""Stops long-running tasks that have to move, as their step allows it."""

from hawthorndeal_jobs import wave_planning


class Displacer:
    """Stops runs of long-running tasks, so that they start elsewhere.

    :param owner: its scheduler knows the runs
    """

    def __init__(self, owner):
        self._owner = owner

    def displace(self, run):
        """Stop a run if enough others of its step are serving.

        :returns: False if no other executor has room for the task
        """
        scheduler = self._owner.scheduler
        if run.is_stop_requested:
            return True
        if not scheduler.can_run_elsewhere(run, self._owner.now_s()):
            return False
        tasks = run.occurrence.tasks[run.task_id.step]
        at_work = scheduler.count_serving_peers(run, self._owner.now_s())
        max_unavailable = run.step.max_unavailable
        if wave_planning.may_stop_lasting(
            at_work, len(tasks) - 1, max_unavailable
        ):
            run.is_stop_requested = True
            self._owner.events.write(
                'run_displaced',
                task=str(run.task_id),
                executor=run.executor_id,
                others_at_work=at_work,
                max_unavailable=max_unavailable,
            )
        return True

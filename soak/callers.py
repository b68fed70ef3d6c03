"""Callers that submit jobs, first to a daemon of their zone."""

import asyncio
import random
import time

import aiohttp
import attrs

from . import events

HOST_NAME = 'soak.example'
DEADLINE_S = 3.0
MAX_ATTEMPTS = 4
RETRY_S = 0.5
MAX_RETRY_AFTER_S = 8.0


class Callers:
    """Submits jobs when they are due, again after no answer or a refusal.

    :param addresses: addresses of the daemons, by zone
    :param recorder: records the answers
    """

    def __init__(self, addresses, recorder, failing_share, seed):
        self._addresses = addresses
        self._all = [a for of_zone in addresses.values() for a in of_zone]
        self._recorder = recorder
        self._failing_share = failing_share
        self._draw = random.Random(seed)
        self._calls = set()

    async def submit_all(self, jobs, begun_s):
        """Submit jobs at their times.

        :param begun_s: begin of the traffic, on the monotonic clock
        """
        timeout = aiohttp.ClientTimeout(total=DEADLINE_S)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            timeout=timeout, connector=connector
        ) as session:
            for job in jobs:
                delay_s = begun_s + job.due_s - time.monotonic()
                if delay_s > 0:
                    await asyncio.sleep(delay_s)
                call = asyncio.create_task(self._submit(session, job))
                self._calls.add(call)
                call.add_done_callback(self._calls.discard)
            await asyncio.gather(*self._calls)

    async def _submit(self, session, job):
        zone = self._draw.choice(list(self._addresses))
        choices, status = self._addresses[zone], None
        self._recorder.write(
            events.Kind.SUBMITTED,
            job.job_id,
            pool=job.pool,
            steps=[attrs.asdict(step) for step in job.steps],
        )
        for _ in range(MAX_ATTEMPTS):
            address = self._draw.choice(choices)
            status, wait_s = await self._call(session, address, job)
            # All daemons of a zone may be gone.
            choices = self._all
            if status is not None and 200 <= status < 300:
                self._recorder.write(events.Kind.ACCEPTED, job.job_id)
                return
            if status not in (None, 429, 502, 503, 504):
                break
            await asyncio.sleep(wait_s)
        kind = events.Kind.REFUSED if status else events.Kind.UNANSWERED
        self._recorder.write(kind, job.job_id, pool=job.pool, status=status)

    async def _call(self, session, address, job):
        """Submit a job once; return the status and the time to wait.

        The status is None where no answer came.
        """
        try:
            async with session.post(
                f'http://{address}/{job.pool}/{job.job_id}',
                json=job.body(self._failing_share),
                headers={'Host': HOST_NAME},
            ) as response:
                wait_s = float(response.headers.get('Retry-After', RETRY_S))
                return response.status, min(MAX_RETRY_AFTER_S, wait_s)
        except (aiohttp.ClientError, OSError, asyncio.TimeoutError):
            return None, RETRY_S

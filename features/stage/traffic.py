"""Load from concurrent callers behind a load balancer."""

import asyncio
import collections
import itertools
import random
import time

import aiohttp
import attrs

MAX_ATTEMPTS = 5
# How long the load balancer ejects an entry host that is down or not ready.
EJECTION_S = 1.0
# Interval of the readiness probes; well below the grace period between a host
# reporting not ready and closing its connections.
READY_POLL_S = 0.05
READY_TIMEOUT = aiohttp.ClientTimeout(total=1.0)
_EJECTION_REASONS = ('no_entry_host', 'not_ready', 'shutting_down')


@attrs.define
class Tally:
    """Count the final outcomes of requests.

    :ivar wrong_answers: ids of requests with a truncated answer or one to
        another request
    :ivar not_run: ids of requests reported as not run
    :ivar answered: ids of answered requests
    """

    outcomes: collections.Counter = attrs.Factory(collections.Counter)
    reasons: collections.Counter = attrs.Factory(collections.Counter)
    wrong_answers: list = attrs.Factory(list)
    not_run: list = attrs.Factory(list)
    answered: list = attrs.Factory(list)
    latencies_s: list = attrs.Factory(list)


class Callers:
    """Send requests to entry hosts through a simulated load balancer.

    :param urls: base URLs of the entry hosts
    :param targets: pairs of workspace and service to call
    :param seed: of the source of randomness
    """

    def __init__(self, urls, targets, seed=1):
        self._urls = list(urls)
        self._targets = itertools.cycle(targets)
        self._rng = random.Random(seed)
        self._numbers = itertools.count(1)
        self._ejected_until_s = dict.fromkeys(self._urls, 0.0)
        self._prefix = f'seed{seed}'
        self.tally = Tally()

    async def run(self, requests, concurrency, pace_s=0.0, is_idempotent=None):
        """Send a number of requests and return the tally.

        :param pace_s: pause of each caller after a request
        :param is_idempotent: applies to all requests; if None, every fourth
            one is not idempotent
        """
        self._remaining = requests
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            polling = asyncio.create_task(self._poll_ready(session))
            await asyncio.gather(
                *(
                    self._run_caller(session, pace_s, is_idempotent)
                    for _ in range(concurrency)
                )
            )
            polling.cancel()
        return self.tally

    async def _run_caller(self, session, pace_s, is_idempotent):
        while self._remaining > 0:
            self._remaining -= 1
            number = next(self._numbers)
            idempotent = (
                number % 4 != 0 if is_idempotent is None else is_idempotent
            )
            await self._send_request(session, number, idempotent)
            await asyncio.sleep(pace_s)

    async def _send_request(self, session, number, is_idempotent):
        workspace, service = next(self._targets)
        request_id = f'{self._prefix}-{number}'
        headers = {
            'Hd-Workspace': workspace,
            'Hd-Request-Id': request_id,
            'Hd-Deadline-S': f'{time.time() + 10.0:.3f}',
            'Hd-Idempotent': str(is_idempotent).lower(),
        }
        path = f'/v1/services/{service}/requests'
        started_s = time.monotonic()
        outcome, reason = await self._send_with_retries(
            session, path, headers, request_id
        )
        self.tally.latencies_s.append(time.monotonic() - started_s)
        self.tally.outcomes[outcome] += 1
        self.tally.reasons[reason] += 1
        if outcome == 'not_run':
            self.tally.not_run.append(request_id)
        elif outcome == 'answered':
            self.tally.answered.append(request_id)

    async def _send_with_retries(self, session, path, headers, request_id):
        for _ in range(MAX_ATTEMPTS):
            url = self._choose_url()
            outcome, reason, retry_after_s = await self._send_once(
                session, url + path, headers, request_id
            )
            if reason in _EJECTION_REASONS:
                self._ejected_until_s[url] = time.monotonic() + EJECTION_S
            if outcome != 'not_run' or retry_after_s is None:
                break
            await asyncio.sleep(retry_after_s)
        return outcome, reason

    async def _poll_ready(self, session):
        while True:
            await asyncio.gather(
                *(self._probe_ready(session, u) for u in self._urls)
            )
            await asyncio.sleep(READY_POLL_S)

    async def _probe_ready(self, session, url):
        try:
            async with session.get(
                f'{url}/ready', timeout=READY_TIMEOUT
            ) as answer:
                is_ready = answer.status == 200
        except (aiohttp.ClientError, asyncio.TimeoutError):
            is_ready = False
        if not is_ready:
            self._ejected_until_s[url] = time.monotonic() + EJECTION_S

    def _choose_url(self):
        now_s = time.monotonic()
        ready = [
            url for url in self._urls if self._ejected_until_s[url] < now_s
        ]
        return self._rng.choice(ready or self._urls)

    async def _send_once(self, session, url, headers, request_id):
        try:
            async with session.post(
                url, data=request_id.encode(), headers=headers
            ) as answer:
                body = await answer.read()
        except aiohttp.ClientConnectorError:
            return 'not_run', 'no_entry_host', 0.0
        except aiohttp.ClientError as error:
            return 'lost', type(error).__name__, None
        if answer.headers.get('Hd-Outcome') == 'answered':
            if body != b'done:' + request_id.encode():
                self.tally.wrong_answers.append(request_id)
            return 'answered', 'answered', None
        failure = await answer.json()
        return (
            failure['outcome'],
            failure['reason'],
            failure['retry_after_s'],
        )

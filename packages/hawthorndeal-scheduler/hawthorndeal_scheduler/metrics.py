"""Prometheus metrics of a daemon: counters, gauges, latency histograms."""

import prometheus_client
from prometheus_client import exposition

# Upper bounds of the latency histogram buckets, in seconds.
_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)


class Metrics:
    """Metrics of one daemon, in a registry of its own.

    Names follow the conventions of the exposition format: base units,
    counters end in ``_total``.
    """

    content_type = exposition.CONTENT_TYPE_LATEST

    def __init__(self):
        self._registry = prometheus_client.CollectorRegistry()
        self._requests = prometheus_client.Counter(
            'hawthorndeal_requests',
            'Requests of callers, by method and status.',
            ['method', 'status'],
            registry=self._registry,
        )
        self._request_seconds = prometheus_client.Histogram(
            'hawthorndeal_request_duration_seconds',
            'Time from a request to its answer.',
            ['method'],
            buckets=_BUCKETS_S,
            registry=self._registry,
        )
        self._runs = prometheus_client.Counter(
            'hawthorndeal_runs',
            'Orders to start a run, by what the executor said.',
            ['answer'],
            registry=self._registry,
        )
        self._ends = prometheus_client.Counter(
            'hawthorndeal_run_ends',
            'Runs that are over, by cause.',
            ['cause'],
            registry=self._registry,
        )
        self._departures = prometheus_client.Counter(
            'hawthorndeal_executor_departures',
            'Executors that have ended, by kind.',
            ['kind'],
            registry=self._registry,
        )
        self._tasks_given_up = prometheus_client.Counter(
            'hawthorndeal_tasks_given_up',
            'Tasks that were given up for crashing executors.',
            registry=self._registry,
        )
        self._host_orders = prometheus_client.Counter(
            'hawthorndeal_host_orders',
            'Orders to hosts, by kind.',
            ['kind'],
            registry=self._registry,
        )
        self._store_reads = prometheus_client.Counter(
            'hawthorndeal_store_reads',
            'Pages read from the store, by topic and outcome.',
            ['topic', 'outcome'],
            registry=self._registry,
        )
        self._store_read_bytes = prometheus_client.Counter(
            'hawthorndeal_store_read_bytes',
            'Keys and values of the records read, by topic.',
            ['topic'],
            registry=self._registry,
        )
        self._records_behind = prometheus_client.Gauge(
            'hawthorndeal_store_records_behind',
            'Records that the last page left to be read, by topic.',
            ['topic'],
            registry=self._registry,
        )
        self._refusals = prometheus_client.Counter(
            'hawthorndeal_requests_refused',
            'Requests that were refused, by reason.',
            ['reason'],
            registry=self._registry,
        )
        self._refused_records = prometheus_client.Counter(
            'hawthorndeal_records_refused',
            'Records of the owner that the store never takes, by kind.',
            ['kind'],
            registry=self._registry,
        )
        self._relayed_calls = prometheus_client.Counter(
            'hawthorndeal_calls_passed_on',
            'Calls passed on to another daemon, by whether it answered.',
            ['answered'],
            registry=self._registry,
        )
        self._cycle_seconds = prometheus_client.Histogram(
            'hawthorndeal_cycle_duration_seconds',
            'Time of the parts of a scheduling cycle.',
            ['part'],
            buckets=_BUCKETS_S,
            registry=self._registry,
        )
        self._unanswered_calls = prometheus_client.Counter(
            'hawthorndeal_executor_calls_unanswered',
            'Calls to executors that failed or timed out, by kind.',
            ['call'],
            registry=self._registry,
        )
        self._gauges = {
            name: prometheus_client.Gauge(
                f'hawthorndeal_{name}', text, registry=self._registry
            )
            for name, text in _GAUGES.items()
        }

    def note_request(self, method, status, took_s):
        """Count one answered request."""
        self._requests.labels(method, str(status)).inc()
        self._request_seconds.labels(method).observe(took_s)

    def note_refusal(self, reason):
        """Count one refused request."""
        self._refusals.labels(reason).inc()

    def note_refused_record(self, kind):
        """Count one record that the store never takes."""
        self._refused_records.labels(kind).inc()

    def note_relayed_call(self, is_answered):
        """Count one call that was passed on to another daemon."""
        self._relayed_calls.labels(str(is_answered).lower()).inc()

    def note_start(self, answer):
        """Count one order to start a run."""
        self._runs.labels(answer).inc()

    def note_end(self, cause):
        """Count one run that has ended."""
        self._ends.labels(cause).inc()

    def note_departure(self, kind):
        """Count one executor that has ended."""
        self._departures.labels(kind).inc()

    def note_task_given_up(self):
        """Count one task that was given up for crashing executors."""
        self._tasks_given_up.inc()

    def note_page(self, topic, records, behind):
        """Count one page read from the store.

        :param behind: number of records still to be read
        """
        self._store_reads.labels(topic, 'page').inc()
        size_bytes = sum(len(r.key) + len(r.value) for r in records)
        self._store_read_bytes.labels(topic).inc(size_bytes)
        self._records_behind.labels(topic).set(behind)

    def note_failed_read(self, topic):
        """Count one page that could not be read."""
        self._store_reads.labels(topic, 'failed').inc()

    def note_cycle_part(self, part, took_s):
        """Record the time of one part of a scheduling cycle."""
        self._cycle_seconds.labels(part).observe(took_s)

    def note_unanswered_call(self, call):
        """Count one call to an executor that failed or timed out."""
        self._unanswered_calls.labels(call).inc()

    def note_host_order(self, kind):
        """Count one order to a host."""
        self._host_orders.labels(kind).inc()

    def set_gauge(self, name, value):
        """Set a gauge, by its name without the ``hawthorndeal_`` prefix."""
        self._gauges[name].set(value)

    def exposition(self):
        """Return all metrics in the text exposition format."""
        return exposition.generate_latest(self._registry)


_GAUGES = {
    'jobs': 'Jobs in the replica.',
    'jobs_waiting': 'Accepted jobs of which no task has begun.',
    'owner_epoch': 'Epoch of the partition owned here; 0 where none is.',
    'store_read_age_seconds': 'Age of the last reading up to the end.',
    'executors': 'Executors known to the owner.',
    'runs_active': 'Runs that take room on executors.',
    'starts_in_flight': 'Orders to start a run without an answer so far.',
    'start_window': 'Orders to start a run that may be without an answer.',
    'workspaces_limited': 'Workspaces with steps that wait for their quota.',
    'steps_standing': 'Steps that wait though executors have room for them.',
    'log_lines_dropped': 'Lines that standard output did not take.',
}

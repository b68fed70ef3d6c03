"""Measure the cost of metrics against their number."""

import contextlib
import socket

from hawthorndeal_daemon import metrics as metrics_module
from hawthorndeal_daemon import settings as settings_module

from . import slopes as slopes_module

SIZES = (2000, 4000, 8000, 16000)
METRICS_PER_S = 100


def slopes():
    """Yield the slope of sending metrics."""
    with contextlib.closing(_receiver()) as receiver:
        metrics = metrics_module.Metrics(
            settings_module.Statsd(port=receiver.getsockname()[1]), 'entry-a1'
        )
        with contextlib.closing(metrics):
            yield slopes_module.Slope(
                'send counters, processor s',
                'metric',
                [(n, _processor_s(metrics, n)) for n in SIZES],
                design_size=METRICS_PER_S,
            )


def _receiver():
    receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    receiver.bind(('127.0.0.1', 0))
    return receiver


def _processor_s(metrics, count):
    def send():
        for _ in range(count):
            metrics.count('requests.answered')

    return slopes_module.processor_s(send)

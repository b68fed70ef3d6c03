"""Processes of a test: each is ended by its own id."""

import os
import signal
import socket
import subprocess
import sys
import time

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
POLL_S = 0.02


class TimedOut(Exception):
    """Report something that did not happen in time."""


def wait_until(check, timeout_s, what):
    """Return the first true value of a check.

    :raises TimedOut: when it stays false
    """
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        value = check()
        if value:
            return value
        time.sleep(POLL_S)
    raise TimedOut(f'{what}: not within {timeout_s} s')


def is_listening(host, port):
    """Tell whether something accepts connections."""
    try:
        with socket.create_connection((host, port), timeout=1.0):
            return True
    except OSError:
        return False


class Process:
    """Run one Python module as a process.

    :param name: for messages and the log file
    :param module: what ``python -m`` runs
    :param arguments: its arguments
    :param host: where it will listen
    :param port: where it will listen
    :param log_path: file for its output
    """

    def __init__(self, name, module, arguments, host, port, log_path):
        self.name = name
        self.host = host
        self.port = port
        self.log_path = log_path
        self._command = [sys.executable, '-m', module, *arguments]
        self._popen = None

    @property
    def url(self):
        """Return where it listens."""
        return f'http://{self.host}:{self.port}'

    @property
    def pid(self):
        """Return the process id."""
        return self._popen.pid

    def start(self):
        """Start it without waiting."""
        with open(self.log_path, 'ab') as output:
            self._popen = subprocess.Popen(
                self._command, stdout=output, stderr=output
            )

    def await_listening(self):
        """Wait until it accepts connections."""
        wait_until(self._is_up, START_TIMEOUT_S, f'{self.name} listening')

    def _is_up(self):
        if self._popen.poll() is not None:
            with open(self.log_path, errors='replace') as output:
                raise TimedOut(f'{self.name} ended: {output.read()[-2000:]}')
        return is_listening(self.host, self.port)

    def signal(self, number):
        """Send a signal."""
        os.kill(self._popen.pid, number)

    def freeze(self):
        """Stop it from running, without ending it."""
        self.signal(signal.SIGSTOP)

    def wake(self):
        """Let a frozen process run on."""
        self.signal(signal.SIGCONT)

    def kill(self):
        """End it at once."""
        self.signal(signal.SIGKILL)
        self._popen.wait()

    def terminate(self):
        """Ask it to end, and return its exit code."""
        self.signal(signal.SIGTERM)
        return self.wait()

    def wait(self):
        """Return the exit code once it ended."""
        return self._popen.wait(STOP_TIMEOUT_S)

    @property
    def is_running(self):
        """Tell whether it runs."""
        return self._popen is not None and self._popen.poll() is None

    def begin_end(self):
        """Ask it to end, also where it is frozen."""
        if self.is_running:
            self.wake()
            self.signal(signal.SIGTERM)

    def end(self):
        """Wait until it ended; kill it where it does not."""
        if not self.is_running:
            return
        try:
            self.wait()
        except subprocess.TimeoutExpired:
            self.kill()


def end_all(group):
    """End processes side by side, whatever state they are in."""
    for process in group:
        process.begin_end()
    for process in group:
        process.end()

"""Child processes of a test, each signalled by its own process id."""

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
    """A condition did not hold in time."""


def wait_until(check, timeout_s, what):
    """Poll a check and return its first true value.

    :param what: description of the condition, for the error message
    :raises TimedOut: if no value is true in time
    """
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        value = check()
        if value:
            return value
        time.sleep(POLL_S)
    raise TimedOut(f'{what}: timed out after {timeout_s} s')


def is_listening(host, port):
    """Return whether a TCP port accepts connections."""
    try:
        with socket.create_connection((host, port), timeout=1.0):
            return True
    except OSError:
        return False


class Process:
    """A process that runs a Python module and listens on a port.

    :param name: used in error messages
    :param module: module for ``python -m``
    :param arguments: command line arguments
    :param host: address that it listens on
    :param port: port that it listens on
    :param log_path: file that stdout and stderr are appended to
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
        """Base URL of the process."""
        return f'http://{self.host}:{self.port}'

    @property
    def pid(self):
        """Process id."""
        return self._popen.pid

    def start(self):
        """Start the process without waiting until it listens."""
        with open(self.log_path, 'ab') as output:
            self._popen = subprocess.Popen(
                self._command, stdout=output, stderr=output
            )

    def await_listening(self):
        """Wait until the process accepts connections.

        :raises TimedOut: if it exits or does not listen in time
        """
        wait_until(
            self._check_listening, START_TIMEOUT_S, f'{self.name} listening'
        )

    def _check_listening(self):
        if self._popen.poll() is not None:
            with open(self.log_path, errors='replace') as output:
                raise TimedOut(f'{self.name} exited: {output.read()[-2000:]}')
        return is_listening(self.host, self.port)

    def signal(self, number):
        """Send a signal to the process."""
        os.kill(self._popen.pid, number)

    def suspend(self):
        """Suspend the process with SIGSTOP."""
        self.signal(signal.SIGSTOP)

    def resume(self):
        """Resume a suspended process."""
        self.signal(signal.SIGCONT)

    def kill(self):
        """Kill the process and reap it."""
        self.signal(signal.SIGKILL)
        self._popen.wait()

    def terminate(self):
        """Send SIGTERM and return the exit code."""
        self.signal(signal.SIGTERM)
        return self.wait()

    def wait(self):
        """Wait for the process to exit and return its exit code."""
        return self._popen.wait(STOP_TIMEOUT_S)

    @property
    def is_running(self):
        """Whether the process was started and has not exited."""
        return self._popen is not None and self._popen.poll() is None

    def request_termination(self):
        """Send SIGTERM without waiting; resume the process if suspended."""
        if self.is_running:
            self.resume()
            self.signal(signal.SIGTERM)

    def end(self):
        """Wait for the process to exit; kill it on a timeout."""
        if not self.is_running:
            return
        try:
            self.wait()
        except subprocess.TimeoutExpired:
            self.kill()


def terminate_all(group):
    """Terminate processes in parallel, also suspended ones."""
    for process in group:
        process.request_termination()
    for process in group:
        process.end()

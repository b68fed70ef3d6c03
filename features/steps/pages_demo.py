"""Steps that run the demo and check for leftover processes."""

import pathlib
import re
import signal
import subprocess
import sys

from behave import given
from behave import then
from behave import when

from stage import processes

DEMO_TIMEOUT_S = 120.0
START_TIMEOUT_S = 40.0
END_TIMEOUT_S = 30.0
# Three fakes of the platform and three daemons.
DEPLOYMENT_PROCESSES = 6


def _demo(*arguments):
    return [sys.executable, '-m', 'demo.run', *arguments]


def _run(count, *arguments):
    return subprocess.run(
        _demo('--requests', str(count), *arguments),
        capture_output=True,
        text=True,
        timeout=DEMO_TIMEOUT_S,
    )


@when('the demo runs with {count:d} requests and no fault')
def run_demo(context, count):
    context.result = _run(count)


@when('the demo runs with {count:d} requests and fault "{fault}"')
def run_demo_with_fault(context, count, fault):
    context.result = _run(count, '--fault', fault)


@then('the demo exits with {code:d} and prints "{row}" as {count:d}')
def check_demo(context, code, row, count):
    result = context.result
    assert result.returncode == code, (result.stdout, result.stderr)
    shown = re.search(rf'^{row} +(\d+)$', result.stdout, re.MULTILINE)
    assert shown and int(shown[1]) == count, result.stdout


@given('a demo in mid-run')
def start_demo(context):
    context.demo = subprocess.Popen(
        _demo(), stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
    )
    context.add_cleanup(_kill, context.demo)
    context.started = processes.wait_until(
        lambda: _all_started(context.demo.pid), START_TIMEOUT_S, 'mid-run'
    )


def _kill(popen):
    if popen.poll() is None:
        popen.kill()
        popen.wait(END_TIMEOUT_S)


def _all_started(pid):
    """Return the child processes once all run, including an apply command."""
    started = _children(pid)
    is_mid_run = any('hawthorndeal_cli' in _command(p) for p in started)
    return (
        started if is_mid_run and len(started) > DEPLOYMENT_PROCESSES else None
    )


def _children(pid):
    tasks = pathlib.Path(f'/proc/{pid}/task').iterdir()
    return [
        int(child)
        for task in tasks
        for child in (task / 'children').read_text().split()
    ]


def _command(pid):
    try:
        return pathlib.Path(f'/proc/{pid}/cmdline').read_text()
    except FileNotFoundError:
        return ''


@when('only the demo process gets {name:w}')
def send_signal(context, name):
    context.demo.send_signal(getattr(signal, name))


@then('it exits with {code:d} and leaves no process running')
def check_ended(context, code):
    exit_code = context.demo.wait(END_TIMEOUT_S)
    running = {pid: _command(pid) for pid in context.started}
    running = {
        pid: command
        for pid, command in running.items()
        if 'hawthorn' in command or 'fakes' in command
    }
    assert not running, running
    assert exit_code == code, exit_code

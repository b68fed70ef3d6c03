"""Steps that check the documentation against the code."""

import fnmatch
import itertools
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile

from behave import given
from behave import then
from behave import when
import yaml

from hawthorndeal_cli import settings as cli_settings
from hawthorndeal_daemon import settings as daemon_settings
from hawthorndeal_fleet import checks
from hawthorndeal_fleet import document
import proofs
from stage import processes

COMMAND_TIMEOUT_S = 60.0
START_TIMEOUT_S = 40.0
END_TIMEOUT_S = 30.0
METRICS_TIMEOUT_S = 20.0
MAX_DATAGRAM_BYTES = 65536
LANGUAGES = {'console', 'yaml', 'text'}
_BLOCK = re.compile(r'^```(\w*)\n(.*?)^```$', re.MULTILINE | re.DOTALL)
_LINK = re.compile(r'\]\(([^)]+)\)')


def blocks(text):
    """Return the language and content of each fenced block of a page."""
    return _BLOCK.findall(text)


def commands(text):
    """Return the commands in the console blocks of a page."""
    return [
        line.removeprefix('$ ')
        for language, content in blocks(text)
        if language == 'console'
        for line in content.splitlines()
        if line.startswith('$ ')
    ]


def table(text, head):
    """Return the rows of the table whose first header is `head`."""
    lines = iter(text.splitlines())
    for line in lines:
        if line.startswith(f'| {head} |'):
            break
    rows = itertools.takewhile(lambda line: line.startswith('|'), lines)
    cells = [[c.strip() for c in row.strip('|').split('|')] for row in rows]
    return cells[1:]


def read(context, page):
    return (context.root / page).read_text()


@given('the deployment that the demo keeps running')
def start_demo_deployment(context):
    scratch = tempfile.TemporaryDirectory(prefix='hawthorndeal-')
    context.add_cleanup(scratch.cleanup)
    context.scratch = pathlib.Path(scratch.name)
    (context.scratch / 'examples').symlink_to(context.root / 'examples')
    context.demo = subprocess.Popen(
        [sys.executable, '-m', 'demo.run', '--keep', '.demo'],
        cwd=context.scratch,
        stdout=subprocess.DEVNULL,
    )
    context.add_cleanup(_end, context.demo)
    processes.wait_until(
        lambda: (context.scratch / '.demo' / 'wave.yaml').exists(),
        START_TIMEOUT_S,
        'the demo runs',
    )


def _end(popen):
    if popen.poll() is None:
        popen.send_signal(signal.SIGINT)
    popen.wait(END_TIMEOUT_S)


def _run_commands(context, lines):
    """Run each command in the same directory and return the results.

    Make targets are only run with --dry-run, as they install or test
    everything.
    """
    source_env = 'test ! -e .demo/env || . .demo/env; '
    return [
        (line, _run_make(context, line))
        if line.startswith('make ')
        else (line, _run_line(context.scratch, source_env + line))
        for line in lines
    ]


def _run_make(context, line):
    return _run_line(context.root, f'{line} --dry-run')


def _run_line(directory, line):
    return subprocess.run(
        ['bash', '-c', line],
        cwd=directory,
        env={
            **os.environ,
            'PATH': f'{pathlib.Path(sys.executable).parent}:'
            f'{os.environ["PATH"]}',
        },
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
    )


@when('every console block of "{pages}" is run there')
def run_pages(context, pages):
    lines = [
        line
        for page in pages.split(', ')
        for line in commands(read(context, page))
    ]
    context.runs = _run_commands(context, lines)


@then('at least {count:d} commands ran and each ended with exit code 0')
def check_runs(context, count):
    assert len(context.runs) >= count, len(context.runs)
    failed = {
        line: (result.returncode, result.stdout, result.stderr)
        for line, result in context.runs
        if result.returncode
    }
    assert not failed, failed


@given('the page text "{text}"')
def write_page(context, text):
    scratch = tempfile.TemporaryDirectory(prefix='hawthorndeal-')
    context.add_cleanup(scratch.cleanup)
    context.scratch = pathlib.Path(scratch.name)
    (context.scratch / 'examples').symlink_to(context.root / 'examples')
    context.page = f'Text.\n\n```console\n$ {text}\n```\n'


@when('its console blocks are run')
def run_page(context):
    context.runs = _run_commands(context, commands(context.page))


@then('a command fails')
def check_failed(context):
    codes = [result.returncode for _, result in context.runs]
    assert len(codes) == 1 and codes[0] != 0, codes


@when('every yaml block of "{page}" is checked')
def check_yaml(context, page):
    texts = [
        content
        for language, content in blocks(read(context, page))
        if language == 'yaml'
    ]
    # Each check raises an exception if the block is invalid.
    context.found = [_check_file(context, text) for text in texts]


def _check_file(context, text):
    data = yaml.safe_load(text)
    if 'daemon' in data:
        return daemon_settings.parse(text.encode(), 'page')
    if 'daemons' in data:
        return cli_settings.parse(text.encode(), 'page')
    example = context.load_example('vltava.yaml')
    return checks.fleet_from_document(document.merge(example, data), 'page')


@then('at least {count:d} files were found and each is valid')
def check_found(context, count):
    assert len(context.found) >= count, context.found


@when('the blocks of "{page}" are listed')
def list_blocks(context, page):
    text = read(context, page)
    context.languages = [language for language, _ in blocks(text)]
    context.fences = len(re.findall('^```', text, re.MULTILINE))


@then('each is marked as console, yaml or text')
def check_languages(context):
    assert context.fences == 2 * len(context.languages), context.fences
    assert set(context.languages) <= LANGUAGES, context.languages


def _anchor(heading):
    words = re.sub(r'[^\w\- ]', '', heading.lower())
    return words.strip().replace(' ', '-')


@when('the links of "{page}" are followed')
def follow_links(context, page):
    path = context.root / page
    context.broken = [
        link
        for link in _LINK.findall(path.read_text())
        if not link.startswith('http') and not _resolves(path, link)
    ]


def _resolves(page, link):
    name, _, anchor = link.partition('#')
    target = page.parent / name if name else page
    if not target.exists():
        return False
    headings = re.findall('^#+ (.*)$', target.read_text(), re.MULTILINE)
    return not anchor or anchor in map(_anchor, headings)


@then('each link resolves to a file or a heading')
def check_links(context):
    assert not context.broken, context.broken


@when('the proofs are read from "{page}"')
def read_proofs(context, page):
    context.page = read(context, page)
    context.scenarios = proofs.scenarios(context.root)


@then('its table of invariants is that of the feature files')
def check_generated(context):
    assert proofs.render(context.root) in context.page, 'run: make proofs'


@then('each invariant of the brief has a scenario, and no other is tagged')
def check_invariants(context):
    tags = set(itertools.chain.from_iterable(context.scenarios.values()))
    used = {tag for tag in tags if tag.startswith(proofs.TAG_PREFIX)}
    assert used == set(proofs.INVARIANTS), used ^ set(proofs.INVARIANTS)


@then('each fault names a scenario that exists')
def check_faults(context):
    rows = table(context.page, 'fault')
    named = {(feature, name.strip('`')) for _, feature, name in rows}
    missing = sorted(named - set(context.scenarios))
    assert named and not missing, f'no such scenario: {missing}'


@then('the page lists what is not proved')
def check_unproved(context):
    _, _, rest = context.page.partition('\n## Not proved\n')
    assert re.findall('^- ', rest, re.MULTILINE), rest


@given('a running deployment that sends its metrics to the test')
def start_with_metrics(context):
    receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.add_cleanup(receiver.close)
    receiver.bind(('127.0.0.1', 0))
    receiver.setblocking(False)
    context.receiver = receiver
    port = receiver.getsockname()[1]
    context.make_stage(
        settings={
            'statsd': {'host': '127.0.0.1', 'port': port},
            'metrics_period_s': 0.2,
        }
    )
    context.received = set()


@when('metrics arrive for every gauge that the page lists')
def receive(context):
    rows = table(read(context, 'docs/OPERATIONS.md'), 'metric')
    context.listed = {row[0].strip('`') for row in rows}
    gauges = {row[0].strip('`') for row in rows if row[1] == 'gauge'}
    processes.wait_until(
        lambda: gauges <= _receive_metric(context),
        METRICS_TIMEOUT_S,
        f'metrics {sorted(gauges)}',
    )


def _receive_metric(context):
    try:
        datagram = context.receiver.recv(MAX_DATAGRAM_BYTES).decode()
    except BlockingIOError:
        return context.received
    prefix, daemon, name = datagram.partition(':')[0].split('.', 2)
    assert prefix == 'hawthorndeal' and daemon.startswith('entry-'), datagram
    context.received.add(name)
    return context.received


@then('every metric received is listed in the page')
def check_received(context):
    unlisted = {
        name
        for name in context.received
        if not any(fnmatch.fnmatch(name, row) for row in context.listed)
    }
    assert not unlisted, unlisted

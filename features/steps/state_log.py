"""Steps for faults of the log, with daemons in one process."""

import asyncio
import copy
import types

import hypothesis
from hypothesis import strategies

from behave import given
from behave import then
from behave import when

from hawthorndeal_daemon import dispatcher
from hawthorndeal_daemon import follower as follower_module
from hawthorndeal_fleet import calls
from hawthorndeal_fleet import checkpoint
from hawthorndeal_fleet import epochs
from hawthorndeal_fleet import errors
from hawthorndeal_fleet import records
from hawthorndeal_fleet import state as state_module
from hawthorndeal_fleet import statecodec

from stage import event_loop
from stage import fleets
from stage import folding
from stage import nodes

STALE_END_S = nodes.RESTART_WAIT_S / 2


async def _make_history(cluster):
    first = cluster.nodes['a']
    await first.send(folding.make_request_claimed())
    await first.send(folding.make_host_reported())
    await cluster.catch_up()
    await first.link.append(first.follower.stream, [{'foreign': 1}])
    await _apply(cluster, 2)


async def _apply(cluster, count, name='a'):
    """Apply some changes from a node and have it read them."""
    node = cluster.nodes[name]
    for _ in range(count):
        apply_id = cluster.new_id()
        await node.send(
            node.make_weight_apply(node.state.next_offset, apply_id)
        )
        await node.catch_up()
        assert node.state.verdicts[apply_id].is_accepted


@given('{count:d} daemons with the fleet of Vltava and some history')
def start(context, count):
    context.cluster = nodes.Cluster('abc'[:count])
    event_loop.run(context.cluster.start(context.load_example('vltava.yaml')))
    event_loop.run(_make_history(context.cluster))
    event_loop.run(context.cluster.catch_up())
    context.expected_state = copy.deepcopy(context.cluster.nodes['a'].state)


@then('the state that is read from a checkpoint is equal')
def check_round_trip(context):
    state = context.cluster.nodes['a'].state
    state.pending_stamp = state_module.PendingStamp('b', 9e9)
    got = checkpoint.load(checkpoint.dump(state))
    assert got == state
    assert got.index._referrers == state.index._referrers
    assert checkpoint.digest(got) == checkpoint.digest(state)
    assert state.claims and state.audit and state.marks is not None


@then('a field of a newer version in it is left out')
def check_newer_field(context):
    state = context.cluster.nodes['a'].state
    data = statecodec.encode(state)
    data['v']['from_a_newer_version'] = 1
    assert statecodec.restore(data) == state


@given('checkpoints of a state and of a later one, in 3 parts each')
def make_checkpoints(context):
    context.execute_steps(
        'Given 1 daemons with the fleet of Vltava and some history'
    )
    node = context.cluster.nodes['a']
    context.texts = {'none': None}
    context.parts = {}
    for name in ('old', 'new'):
        text = checkpoint.dump(node.state)
        limit = checkpoint.MAX_PART_CHARS
        checkpoint.MAX_PART_CHARS = len(text) // 3 + 1
        context.parts[name] = checkpoint.split(node.state, text)
        checkpoint.MAX_PART_CHARS = limit
        assert len(context.parts[name]) == 3
        context.texts[f'the {name} one'] = text
        event_loop.run(_apply(context.cluster, 1))


def _stream_entries(entries, old, new):
    return {
        'old, new': old + new,
        'new, old': new + old,
        'new, new': new + new,
        'both, part by part': [p for pair in zip(old, new) for p in pair],
        'old, new without its last part': old + new[:-1],
        'old, new with a changed part': [
            *old,
            {**new[0], 'text': 'x' + new[0]['text'][1:]},
            *new[1:],
        ],
        'foreign entries, new': [None, {'number': 1}, 'x', *new],
        'new without its first part': new[1:],
        'nothing': [],
    }[entries]


@when('the stream holds {entries}')
def collect(context, entries):
    collector = checkpoint.PartAssembler()
    for data in _stream_entries(entries, **context.parts):
        collector.add(data)
    context.found = collector.text


@then('the checkpoint found is {found}')
def check_found(context, found):
    assert context.found == context.texts[found]


async def _start_daemon(context, starts):
    cluster = context.cluster
    if 'checkpoint' in starts:
        await cluster.nodes['a'].checkpointer.write_now()
    if 'expired' in starts:
        cluster.streams.expire(nodes.STREAM, cluster.end_of_log())
    if starts != 'reads the log and joins':
        cluster.nodes['a'].is_cut_off = True
    node = cluster.add('new')
    if 'down' in starts:
        node.link.mode = 'down'
    await node.catch_up()
    if 'joins' in starts:
        await node.send(folding.make_daemon_joined('new'))
        await node.catch_up()
    if 'does not know' in starts:
        await node.join()
        node.state.rule_level = records.RULE_LEVEL + 1
    return node


@when('a new daemon {starts}')
def start_daemon(context, starts):
    context.node = event_loop.run(_start_daemon(context, starts))


@then('that daemon is {ready}')
def check_ready(context, ready):
    assert context.node.follower.is_ready is (ready == 'ready')


async def _call_unknown_service(node, clock):
    request_dispatcher = dispatcher.Dispatcher(
        node.follower,
        node.writer,
        router=None,
        endpoints=None,
        returner=None,
        forwarder=None,
        incarnation=node.name,
        settings=types.SimpleNamespace(claim_timeout_s=1.0),
        clock=clock,
        rng=None,
    )
    request = calls.Request(
        workspace='vltava',
        service='none',
        request_id='1',
        deadline_s=clock.now_s() + 10.0,
        is_idempotent=True,
        urgency=calls.Urgency.INTERACTIVE,
        body=b'',
    )
    try:
        return await request_dispatcher.serve(request)
    except errors.RequestFailed as error:
        return error.reason


@then('its response to a request for an unknown service is "{reason}"')
def check_answer(context, reason):
    got = event_loop.run(
        _call_unknown_service(context.node, context.cluster.clock)
    )
    assert got == reason, got


@when('daemon "{name}" is paused during {count:d} applies')
def pause_reader(context, name, count):
    context.saved_state = copy.deepcopy(context.cluster.nodes[name].state)
    event_loop.run(_apply(context.cluster, count))


@when('daemon "{name}" writes a checkpoint')
def write_checkpoint(context, name):
    node = context.cluster.nodes[name]
    context.kept_offset = event_loop.run(node.checkpointer.write_now())


@when('{count:d} applies follow')
def follow(context, count):
    event_loop.run(_apply(context.cluster, count))
    context.expected_state = copy.deepcopy(context.cluster.nodes['a'].state)


@when('the records older than the checkpoint expire')
def expire_older(context):
    context.cluster.streams.expire(nodes.STREAM, context.kept_offset)


@when('all records of the log expire')
def expire_all(context):
    cluster = context.cluster
    cluster.streams.expire(nodes.STREAM, cluster.end_of_log())


@when('daemon "{name}" resumes with {source}')
def resume(context, name, source):
    node = context.cluster.nodes[name]
    node.is_cut_off = source != 'its peers'
    event_loop.run(node.catch_up())


def _same_state(node, state):
    assert checkpoint.digest(node.state) == checkpoint.digest(state), node.name


@then('daemon "{name}" has the state of daemon "{other}"')
def check_same(context, name, other):
    event_loop.run(context.cluster.catch_up())
    state = context.cluster.nodes[other].state
    _same_state(context.cluster.nodes[name], state)


@then('daemon "{name}" has its previous state')
def check_kept(context, name):
    _same_state(context.cluster.nodes[name], context.saved_state)


@then('no state ever regressed')
def check_no_regression(context):
    context.cluster.check()


@when('all daemons are replaced one by one')
def replace_each(context):
    for name in context.cluster.nodes:
        event_loop.run(context.cluster.add(name).catch_up())


@when('all daemons are replaced at once')
def replace_all(context):
    for name in context.cluster.nodes:
        context.cluster.add(name)
    event_loop.run(context.cluster.catch_up())


@then('all daemons have retained the state')
def check_all(context):
    for node in context.cluster.nodes.values():
        assert node.state.next_offset >= context.expected_state.next_offset
        assert node.state.revision == context.expected_state.revision
        assert node.state.document == context.expected_state.document
        if node.state.epoch == context.expected_state.epoch:
            _same_state(node, context.expected_state)


@then('an apply is accepted as the next revision')
def check_apply(context):
    cluster = context.cluster
    event_loop.run(_apply(cluster, 1))
    event_loop.run(cluster.catch_up())
    for node in cluster.nodes.values():
        assert node.state.revision == context.expected_state.revision + 1, (
            node.name
        )


@given('daemon "{name}" is {count:d} records behind')
def fall_behind(context, name, count):
    if count:
        event_loop.run(_apply(context.cluster, count))
    context.expected_state = copy.deepcopy(context.cluster.nodes['a'].state)


def _drop_entries(cluster, fault):
    end = cluster.end_of_log()
    if fault == 'without any stream':
        cluster.streams._entries.clear()
        return
    keep = 0 if fault == 'empty' else end - int(fault.split()[0])
    cluster.streams.truncate(nodes.STREAM, keep)


@when('the log returns {fault}')
def return_log(context, fault):
    _drop_entries(context.cluster, fault)
    event_loop.run(context.cluster.catch_up())


async def _is_append_refused(node):
    try:
        await node.send(folding.make_host_reported())
    except errors.PlatformUnavailable:
        return True
    return False


@then('no daemon accepts an append until a new epoch is begun')
def check_refused(context):
    cluster = context.cluster
    assert all(
        event_loop.run(_is_append_refused(node))
        for node in cluster.nodes.values()
    )
    event_loop.run(cluster.settle())
    epochs = {node.state.epoch for node in cluster.nodes.values()}
    assert epochs == {1}, epochs


@then('a daemon that joins has the state of daemon "{name}"')
def check_joiner(context, name):
    joiner = context.cluster.add('new')
    event_loop.run(joiner.join())
    event_loop.run(context.cluster.catch_up())
    assert joiner.follower.is_ready
    _same_state(joiner, context.cluster.nodes[name].state)


@when('the log shows a stale end for 5 s')
def show_stale_end(context):
    cluster = context.cluster
    entries = list(cluster.streams._entries[nodes.STREAM])
    cluster.streams.truncate(nodes.STREAM, 2)
    event_loop.run(cluster.catch_up())
    cluster.clock.time_s += STALE_END_S
    event_loop.run(_check_epochs(cluster))
    cluster.streams._entries[nodes.STREAM][:] = entries
    event_loop.run(cluster.catch_up())


async def _check_epochs(cluster):
    for node in cluster.nodes.values():
        node.receive_digests()
    for node in cluster.nodes.values():
        # The second check adopts the epoch that the first one began.
        await node.restarter.check()
        await node.restarter.check()


@when('an epoch is begun but adopted by no daemon')
def begin_unadopted_epoch(context):
    cluster = context.cluster
    node = cluster.nodes['a']
    begun = records.LogRestarted(1, node.state.next_offset - 1, 'any')
    data = folding.encode(begun, 'abandoned')
    event_loop.run(node.link.append(f'{nodes.STREAM}.1', [data]))


@when('all daemons are partitioned from each other')
def partition_daemons(context):
    for node in context.cluster.nodes.values():
        node.is_cut_off = True


@when('only daemon "{name}" reads a stale end')
def show_stale_end_to_one(context, name):
    context.cluster.nodes[name].link.mode = 'old'
    event_loop.run(context.cluster.catch_up())


@then('no daemon begins an epoch')
def check_no_epoch_begun(context):
    event_loop.run(context.cluster.settle())
    for node in context.cluster.nodes.values():
        assert node.state.epoch == 0, node.name
        _same_state(node, context.expected_state)


@when('time passes until epoch {epoch:d} is begun')
def await_epoch(context, epoch):
    event_loop.run(context.cluster.settle())
    for node in context.cluster.nodes.values():
        assert node.state.epoch == epoch, node.state.epoch


@then('no epoch is begun')
def check_epoch(context):
    event_loop.run(context.cluster.settle())
    for node in context.cluster.nodes.values():
        assert node.state.epoch == 0
        assert not node.follower.is_log_behind


@when('daemon "{name}" alone reads {count:d} applies that the log then loses')
def read_alone(context, name, count):
    cluster = context.cluster
    end = cluster.end_of_log()
    event_loop.run(_apply(cluster, count, name))
    cluster.streams.truncate(nodes.STREAM, end - 1)
    context.saved_state = copy.deepcopy(cluster.nodes[name].state)


@when('daemon "{name}" is partitioned off until a new epoch is begun')
def begin_epoch_without(context, name):
    node = context.cluster.nodes[name]
    node.is_cut_off = True
    node.link.mode = 'down'
    event_loop.run(context.cluster.settle())
    assert context.cluster.nodes['a'].state.epoch == 1
    node.is_cut_off = False
    node.link.mode = 'ok'
    context.isolated_node = node
    event_loop.run(context.cluster.settle())


@then('it reports that it needs replacement')
def check_needs_replacement(context):
    assert context.isolated_node.restarter.needs_replacement


def _checkpoints_written(cluster):
    answer = cluster.streams.read(nodes.CHECKPOINTS, 0, 10_000)[1]
    return len(answer['entries'])


async def _check_checkpointers(cluster):
    """Have every daemon write a due checkpoint while its writer runs."""
    for node in cluster.nodes.values():
        task = asyncio.create_task(node.writer.run())
        reader = asyncio.create_task(node.follower.run())
        await node.checkpointer.check()
        task.cancel()
        reader.cancel()
        await asyncio.gather(task, reader, return_exceptions=True)
    await cluster.catch_up()


@when('the log is down for {outage_s:d} s and all records expire')
def take_log_down(context, outage_s):
    cluster = context.cluster
    for node in cluster.nodes.values():
        # Checkpoints due by the jittered schedule would hide those that the
        # outage causes.
        node.checkpointer._schedule_next()
    for node in cluster.nodes.values():
        node.link.mode = 'down'
    event_loop.run(cluster.catch_up())
    cluster.clock.time_s += outage_s
    for node in cluster.nodes.values():
        node.checkpointer._due_s = cluster.clock.time_s + 100.0
        node.link.mode = 'ok'
    cluster.streams.expire(nodes.STREAM, cluster.end_of_log())
    event_loop.run(cluster.catch_up())


@then('{count:d} checkpoints are written within a second')
def check_outage(context, count):
    event_loop.run(_check_checkpointers(context.cluster))
    written = _checkpoints_written(context.cluster)
    # Daemons that notice the outage at the same time may write one each.
    assert min(written, 1) == count, written


@when('{count:d} retention periods pass')
def pass_retentions(context, count):
    cluster = context.cluster
    for node in cluster.nodes.values():
        node.checkpointer._schedule_next()
    step_s = nodes.RETENTION_S / 200
    for _ in range(count * 200):
        cluster.clock.time_s += step_s
        for node in cluster.nodes.values():
            if node.checkpointer._due_s <= cluster.clock.time_s:
                event_loop.run(_check_checkpointers(cluster))
                break
        else:
            event_loop.run(cluster.catch_up())


@then('between {lowest:d} and {highest:d} checkpoints are written')
def check_written(context, lowest, highest):
    written = _checkpoints_written(context.cluster)
    assert lowest <= written <= highest, written


_NODES = strategies.sampled_from('abc')
_OPERATIONS = strategies.one_of(
    strategies.tuples(
        strategies.just('send'),
        _NODES,
        strategies.sampled_from(['apply', 'report', 'claim', 'join', 'junk']),
    ),
    strategies.tuples(strategies.just('read'), _NODES),
    strategies.tuples(
        strategies.just('mode'),
        _NODES,
        strategies.sampled_from(['ok', 'ok', 'down', 'lost', 'twice']),
    ),
    strategies.tuples(strategies.just('checkpoint'), _NODES),
    strategies.tuples(strategies.just('cut'), _NODES),
    strategies.tuples(strategies.just('replace'), _NODES),
    strategies.tuples(strategies.just('expire'), strategies.integers(0, 9)),
    strategies.tuples(strategies.just('lose'), strategies.integers(1, 4)),
)


class _Machine:
    """Applies a sequence of operations to a cluster."""

    def __init__(self):
        self.cluster = nodes.Cluster('abc')
        self.done = set()

    async def run(self, operations):
        """Run the operations, then let all daemons converge."""
        await self.cluster.start(fleets.minimal_document())
        for name, *arguments in operations:
            try:
                await getattr(self, f'_{name}')(*arguments)
                self.done.add(name)
            except errors.PlatformError:
                pass
            self.cluster.check()
        await self._finish()

    async def _finish(self):
        for node in self.cluster.nodes.values():
            node.link.mode = 'ok'
            node.is_cut_off = False
        await self.cluster.catch_up()
        await self.cluster.settle(4)
        self.cluster.check()
        digests = {
            (node.state.next_offset, checkpoint.digest(node.state))
            for node in self.cluster.nodes.values()
        }
        assert len(digests) == 1, digests

    def _body(self, node, kind):
        return {
            'apply': lambda: node.make_weight_apply(
                node.state.next_offset, self.cluster.new_id()
            ),
            'report': lambda: records.HostReported('a', False, node.name),
            'claim': lambda: records.RequestClaimed(
                f'w/s/{node.state.next_offset % 3}', 2e6, node.name
            ),
            'join': lambda: folding.make_daemon_joined(node.name),
            'junk': lambda: records.DaemonLeft('nobody'),
        }[kind]()

    async def _send(self, name, kind):
        node = self.cluster.nodes[name]
        await node.send(self._body(node, kind))

    async def _read(self, name):
        await self.cluster.nodes[name].catch_up()

    async def _mode(self, name, mode):
        self.cluster.nodes[name].link.mode = mode

    async def _checkpoint(self, name):
        node = self.cluster.nodes[name]
        if node.state.revision:
            await node.checkpointer.write_now()

    async def _cut(self, name):
        node = self.cluster.nodes[name]
        node.is_cut_off = not node.is_cut_off

    async def _replace(self, name):
        # At least one daemon has to remain, as nothing else holds the state.
        if all(node.state.revision for node in self.cluster.nodes.values()):
            self.cluster.add(name)

    async def _expire(self, older):
        stream = self._stream()
        first = self.cluster.streams._first_offsets.get(stream, 0)
        held = len(self.cluster.streams._entries.get(stream, ()))
        if held:
            self.cluster.streams.expire(stream, first + min(older, held))

    async def _lose(self, count):
        # Records read by no daemon or by only one may be lost permanently;
        # records read by more are restored from the most advanced daemon.
        await self._converge()
        stream = self._stream()
        held = len(self.cluster.streams._entries.get(stream, ()))
        self.cluster.streams.truncate(stream, max(0, held - count))
        await self.cluster.settle(2)

    async def _converge(self):
        for node in self.cluster.nodes.values():
            node.is_cut_off = False
            node.link.mode = 'ok'
        await self.cluster.settle(2)

    def _stream(self):
        epoch = max(n.state.epoch for n in self.cluster.nodes.values())
        return follower_module.stream_name(nodes.STREAM, epoch)


@then('no sequence of faults makes states diverge or regress')
def check_interleavings(context):
    done = set()

    @hypothesis.settings(
        max_examples=150, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(strategies.lists(_OPERATIONS, min_size=8, max_size=30))
    def interleave(operations):
        machine = _Machine()
        event_loop.run(machine.run(operations))
        done.update(machine.done)

    interleave()
    assert done == {
        'send',
        'read',
        'mode',
        'checkpoint',
        'cut',
        'replace',
        'expire',
        'lose',
    }, done


async def _apply_concurrently(context, count, mode):
    cluster = context.cluster
    await cluster.catch_up()
    racing = [*cluster.nodes.values()] * 2
    context.apply_ids = [f'race-{number}' for number in range(count)]
    for number, apply_id in enumerate(context.apply_ids):
        node = racing[number]
        node.link.mode = mode
        try:
            await node.send(node.make_weight_apply(1000.0 + number, apply_id))
        except errors.OutcomeUnknown:
            assert mode == 'lost'
    await cluster.catch_up()


@when('{count:d} operators apply from one revision in log mode {mode}')
def apply_concurrently(context, count, mode):
    event_loop.run(_apply_concurrently(context, count, mode))


@then('one apply is accepted and the others are conflicts')
def check_one_accepted(context):
    for node in context.cluster.nodes.values():
        verdicts = [node.state.verdicts[i] for i in context.apply_ids]
        assert [v.is_accepted for v in verdicts].count(True) == 1, verdicts
        assert node.state.revision == context.expected_state.revision + 1
        for verdict in verdicts:
            assert verdict.is_accepted or verdict.reason.startswith('conflict')


async def _apply_again(context):
    node = context.cluster.nodes['b']
    node.link.mode = 'ok'
    for apply_id in context.apply_ids:
        first = node.state.verdicts[apply_id]
        record_id = await node.send(node.make_weight_apply(5.0, apply_id))
        await node.catch_up()
        again = node.state.recent[record_id]
        assert again.is_accepted == first.is_accepted, again
        assert again.reason == first.reason, again


@then('each operator gets its verdict again for its apply id')
def check_same_verdicts(context):
    revision = context.cluster.nodes['b'].state.revision
    event_loop.run(_apply_again(context))
    assert context.cluster.nodes['b'].state.revision == revision


@when('the log is down for daemon "{name}" during {count:d} applies')
def cut_from_log(context, name, count):
    context.cluster.nodes[name].link.mode = 'down'
    pause_reader(context, name, count)
    event_loop.run(context.cluster.nodes[name].catch_up())


@then('daemon "{name}" is ready with its previous state')
def check_serving(context, name):
    assert context.cluster.nodes[name].follower.is_ready
    check_kept(context, name)


@when('the state of daemon "{name}" is replaced while it reads a page')
def replace_while_reading(context, name):
    node = context.cluster.nodes[name]
    read = node.link.read

    async def replace_and_read(stream, offset, limit=1000):
        page = await read(stream, offset, limit)
        if node.state.epoch == 0:
            node.follower.replace(epochs.with_epoch(node.state, 1))
        return page

    context.saved_state = copy.deepcopy(node.state)
    event_loop.run(_apply(context.cluster, 1))
    node.link.read = replace_and_read
    event_loop.run(node.follower.read_once())


@then('daemon "{name}" has discarded that page')
def check_discarded(context, name):
    state = context.cluster.nodes[name].state
    assert state.next_offset == context.saved_state.next_offset
    assert state.revision == context.saved_state.revision


@then('daemon "{name}" cannot append')
def check_no_append(context, name):
    assert event_loop.run(_is_append_refused(context.cluster.nodes[name]))


@then('daemon "{name}" has the state of daemon "{other}" once the log is up')
def check_back(context, name, other):
    context.cluster.nodes[name].link.mode = 'ok'
    check_same(context, name, other)

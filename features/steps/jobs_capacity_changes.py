"""Steps for executors whose capacity changes while they run."""

import json
import types

import attrs
from behave import given
from behave import step
from behave import then
from behave import when

from hawthorndeal_fleet import errors
from hawthorndeal_jobs import run_state
from hawthorndeal_jobs import specs
from hawthorndeal_platform import keyed_log
from hawthorndeal_scheduler import log_readers
from hawthorndeal_site import formats
from stage import fault_search
from stage import job_world

CORE = 1000
ENTRY = {
    'service': 's',
    'address': '10.0.0.1:8080',
    'zone': 'z',
    'state': 'ready',
    'labels': ['a', 'r1'],
    'clock-ms': 5,
}


@when('the entry of an executor tells the capacity {capacity}')
def decode_capacity(context, capacity):
    text = json.dumps(ENTRY)[:-1] + f', "capacity": {capacity}}}'
    context.entry = formats.Formats.decode_entry('i-1', text.encode())


@then('its capacity is {cores:d} cores and {memory:d} MB')
def check_capacity(context, cores, memory):
    expected = specs.Resources(cores * CORE, memory)
    assert context.entry.capacity == expected, context.entry


@given('a reader of entries that has read one of 16 cores')
def start_reader(context):
    context.known = {}
    clock = types.SimpleNamespace(monotonic_s=lambda: 0.0)
    context.reader = log_readers.EntriesReader(formats.Formats, clock, None)

    def note_entry(entry, now_s):
        context.known[entry.executor_id] = entry

    context.reader.on_entry = note_entry
    context.offset = 0
    read_first_again(context)


@when('it reads the first entry again')
def read_first_again(context):
    read_value(context, json.dumps(ENTRY | {'capacity': {'cpu': 16000}}))


@when('it reads {value} for the same executor')
def read_value(context, value):
    context.offset += 1
    record = keyed_log.KeyedRecord(context.offset, 'i-1', value.encode())
    try:
        context.reader.handle_record(record)
    except errors.InvalidRecord:
        pass


@then('the executor is known to have {cores:d} cores')
def check_known(context, cores):
    known = context.known['i-1'].capacity.cpu_millicores
    assert known == cores * CORE, context.known


@when(
    '{jobs:d} jobs of {tasks:d} tasks of 1 core have waited for {wait:g} '
    'seconds'
)
def add_waiting_jobs(context, jobs, tasks, wait):
    harness = context.harness
    for number in range(jobs):
        harness.add_job(f'w{number}', job_world.one_step(tasks))
    harness.start_all()
    harness.now_s += wait


@when('jobs "{names}" of 1 task start')
def start_jobs(context, names):
    for name in names.split(', '):
        context.harness.add_job(name, job_world.one_step(1, estimate_s=1.0))
    assert len(context.harness.start_all()) == len(names.split(', '))


@step('"{executor_id}" shrinks to {cores:d} cores')
@step('"{executor_id}" grows to {cores:d} cores')
def resize(context, executor_id, cores):
    harness = context.harness
    entry = harness.scheduler.executors[executor_id].entry
    capacity = specs.Resources(cores * CORE, entry.capacity.memory_mb)
    harness.scheduler.update_executor(
        attrs.evolve(entry, capacity=capacity), harness.now_s
    )


@when('{count:d} of its executors shrink to {cores:d} core')
def resize_some(context, count, cores):
    for number in range(count):
        resize(context, f'x{number}', cores)


@when('the run of "{name}" on "{executor_id}" ends')
def end_run(context, name, executor_id):
    harness = context.harness
    known = harness.scheduler.executors[executor_id]
    (run,) = [r for r in known.runs.values() if r.task_id.job_id == name]
    others = [
        run_state.ReportedRun(r.task_id, r.number, '', 50)
        for r in known.runs.values()
        if r is not run
    ]
    end = run_state.ReportedEnd(
        known.incarnation.last_processed_end + 1,
        run.task_id,
        run.number,
        run_state.EndCause.DONE,
        '',
    )
    harness.poll(executor_id, others, [end])


@when('the store takes {seconds:g} seconds for an append')
def slow_store(context, seconds):
    context.world.store.append_s = seconds


@when('starts are planned, and each executor {change}')
def change_executors(context, change):
    world = context.world
    scheduler = world.owner.candidate.owner.scheduler

    def has_planned():
        return any(executor.runs for executor in scheduler.executors.values())

    assert context.runner.run(world.wait_for(has_planned, 10.0))
    context.before = {}
    for executor in world.executors.values():
        context.before[executor] = executor.entry
        if change == 'shrinks to nothing':
            executor.resize(specs.Resources())
        else:
            executor.entry = attrs.evolve(executor.entry, is_leaving=True)
        world.store_entry(executor.entry)


@then('no task of "{job_id}" has started on them')
def check_none_started_there(context, job_id):
    changed = {e.entry.executor_id for e in context.before}
    started = [
        fields
        for _, _, kind, fields in context.world.log
        if kind == 'run_started'
        and fields['task'].startswith(f'{job_id}.')
        and fields['executor'] in changed
    ]
    assert changed and not started, started


@when('each executor is as before, and the store is fast again')
def restore_executors(context):
    world = context.world
    world.store.append_s = 0.0
    for executor, entry in context.before.items():
        executor.entry = entry
        world.store_entry(entry)


@when("only the partition of the executors' entries can't be read")
def cut_entries(context):
    context.world.store.unreadable.add(job_world.ENTRIES.name)


@when('the partition can be read again')
def restore_entries(context):
    context.world.store.unreadable.clear()


@then('it has {hosts:g} usable hosts')
def check_usable(context, hosts):
    assert context.load.hosts == hosts, context.load


@when(
    'simulations with random faults and changes of capacity of seeds '
    '{first:d} to {last:d} run'
)
def run_simulations(context, first, last):
    kinds = fault_search.ALL_KINDS + fault_search.CAPACITY_KINDS * 4
    context.verdicts = [
        fault_search.run_with_faults(seed, kinds)
        for seed in range(first, last + 1)
    ]

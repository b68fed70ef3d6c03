"""Steps for the exchange of digests between daemons."""

from behave import given
from behave import then
from behave import when

from hawthorndeal_fleet import records

from stage import event_loop
from stage import folding
from stage import peer_mesh


@given('{zones:d} zones of {count:d} daemons that exchange digests')
def make_mesh(context, zones, count):
    context.mesh = peer_mesh.Mesh(zones, count)


@given('{zones:d} zones of {count:d} daemons with equal states')
def make_shared_mesh(context, zones, count):
    context.mesh = peer_mesh.Mesh(zones, count, is_shared=True)


@when('{count:d} periods pass')
def pass_periods(context, count):
    event_loop.run(context.mesh.run(count))


@then('every daemon knows the revision and offset of all {count:d}')
def check_all_known(context, count):
    for daemon in context.mesh.daemons.values():
        heard = [daemon.table.heard(name) for name in context.mesh.daemons]
        assert len(heard) == count and None not in heard
        offsets = {found.digest.next_offset for found in heard}
        assert offsets == {len(context.mesh.records)}, offsets


@given(
    'daemon "{slow}" is behind, "{silent}" is unresponsive and "{busy}" '
    'has {count:d} requests to "{host}"'
)
def set_up_faults(context, slow, silent, busy, count, host):
    mesh = context.mesh
    event_loop.run(mesh.run(3))
    mesh.daemons[silent].is_cut_off = True
    for daemon in mesh.daemons.values():
        daemon.follower.state.disruptions[host] = None
    mesh.daemons[busy].router.busy = {host: count}
    mesh.append(folding.make_host_reported())
    mesh.fold_all(exclude=(slow,))
    for name, daemon in mesh.daemons.items():
        daemon.follower.state.revision = 1 if name == slow else 2


@then('daemon "{name}" learns that "{slow}" is behind and "{other}" is not')
def check_behind(context, name, slow, other):
    table = context.mesh.daemons[name].table
    assert table.heard(slow).digest.revision == 1
    assert table.heard(other).digest.revision == 2


@then('daemon "{name}" has received no digest of "{silent}" for {limit_s:d} s')
def check_silent(context, name, silent, limit_s):
    heard = context.mesh.daemons[name].table.heard(silent)
    assert heard.heard_s < context.mesh.clock.time_s - limit_s


@then(
    'daemon "{name}" finds no acknowledgement of zone "{zone}" beyond "{slow}"'
)
def check_zone_acknowledgement(context, name, zone, slow):
    mesh = context.mesh
    reached = mesh.daemons[slow].follower.state.next_offset
    for other, daemon in mesh.daemons.items():
        if other.startswith(zone):
            heard = mesh.daemons[name].table.heard(other)
            assert heard.digest.next_offset <= reached, other


@then('daemon "{name}" finds {count:d} requests to "{host}" at "{busy}"')
def check_busy(context, name, count, host, busy):
    heard = context.mesh.daemons[name].table.heard(busy)
    assert heard.digest.busy_hosts == {host: count}


@when('a daemon joins zone "{zone}" that its neighbours have not read')
def join_unread(context, zone):
    mesh = context.mesh
    joined = records.DaemonJoined('late', 'late', zone, 'nowhere:1')
    mesh.append(joined)
    mesh.fold_all(exclude=[n for n in mesh.daemons if n.startswith(zone)])


@then('daemon "{name}" receives no digest of it')
def check_no_digest(context, name):
    daemon = context.mesh.daemons[name]
    assert 'late' in daemon.follower.state.members
    assert daemon.table.heard('late') is None


@when('daemon "{name}" is replaced by "{new}" at its address')
def replace(context, name, new):
    mesh = context.mesh
    old = mesh.daemons.pop(name)
    successor = peer_mesh._Peers(mesh, new, 'z0', old.address)
    mesh.daemons[new] = mesh.by_address[old.address] = successor
    mesh.append(records.DaemonJoined(new, name, 'z0', old.address))
    mesh.fold_all()


@then('daemon "{name}" knows "{new}" and no longer "{old}"')
def check_replaced(context, name, new, old):
    table = context.mesh.daemons[name].table
    assert table.heard(new) is not None
    assert table.heard(old) is None


@when('daemon "{name}" folds a record differently')
def fold_differently(context, name):
    mesh = context.mesh
    mesh.append(folding.make_host_reported())
    mesh.fold_all(exclude=(name,))
    state = mesh.daemons[name].follower.state
    state.rule_level = 7
    mesh.fold_all()


@when(
    '{count:d} records follow and daemon "{name}" lacks the last {missing:d}'
)
def follow_records(context, count, name, missing):
    mesh = context.mesh
    for number in range(count):
        mesh.append(folding.make_host_reported())
        if number == count - missing - 1:
            mesh.fold_all()
    mesh.fold_all(exclude=(name,))


def _divergence_count(daemon):
    return daemon.metrics.counts.get('state.diverged', 0)


@then('daemon "{name}" reports diverged states')
def check_divergence_reported(context, name):
    assert _divergence_count(context.mesh.daemons[name])


@then('no daemon reports diverged states')
def check_no_divergence_reported(context):
    assert not any(map(_divergence_count, context.mesh.daemons.values()))


@when('the exchange runs for {count:d} periods without new records')
def run_idle(context, count):
    measure_exchange(context, count, False)


@when('the exchange runs for {count:d} periods with a new record in each')
def run_busy(context, count):
    measure_exchange(context, count, True)


def measure_exchange(context, count, is_changing):
    """Store the highest rates of messages and bytes of any daemon."""
    mesh = context.mesh
    event_loop.run(mesh.run(3))
    before = {name: _cost(daemon) for name, daemon in mesh.daemons.items()}
    for _ in range(count):
        if is_changing:
            mesh.append(folding.make_host_reported())
            mesh.fold_all()
        event_loop.run(mesh.run(1))
    took_s = count * peer_mesh.PERIOD_S
    rates = [
        [(now - then) / took_s for now, then in zip(_cost(d), before[name])]
        for name, d in mesh.daemons.items()
    ]
    context.messages_per_s = max(rate[0] for rate in rates)
    context.bytes_per_s = max(rate[1] for rate in rates)


def _cost(daemon):
    return daemon.messages, sum(daemon.bytes.values())


@then(
    'a daemon exchanges at most {messages:d} messages and {limit:d} bytes '
    'a second'
)
def check_cost(context, messages, limit):
    print(
        f'\n{context.messages_per_s:.1f} messages/s, '
        f'{context.bytes_per_s:.0f} bytes/s at most'
    )
    assert context.messages_per_s <= messages, context.messages_per_s
    assert context.bytes_per_s <= limit, context.bytes_per_s

"""HTTP interface for peers and operators; callers have no access to it."""

import functools
import hmac

from sanic import response

from hawthorndeal_fleet import codec
from hawthorndeal_fleet import errors
from hawthorndeal_fleet import records
from hawthorndeal_fleet import rollup
from hawthorndeal_fleet import waves as waves_module

from . import explaining
from . import loader
from . import peers as peers_module
from . import web

MAX_BODY_BYTES = 16 * 1024 * 1024
APPLY_TIMEOUT_S = 10.0
MAX_AUDIT_ENTRIES = 1000


def make_app(follower, writer, peers, maintainer, settings):
    """Return the web application for peers and operators."""
    app = web.make_app('control', MAX_BODY_BYTES)
    _add_peer_routes(app, peers, settings)
    _add_state_routes(app, follower, peers, maintainer, settings)
    _add_apply_routes(app, follower, writer, settings)
    return app


def _unauthorized():
    return response.json({'reason': 'not_authorized'}, status=401)


def _bearer(request):
    kind, _, token = request.headers.get('authorization', '').partition(' ')
    return token if kind == 'Bearer' else ''


def _operator(request, settings):
    presented = _bearer(request).encode()
    names = (
        name
        for name, token in settings.operator_tokens.items()
        if hmac.compare_digest(token.encode(), presented)
    )
    return next(names, None)


def _for_operators(settings):
    def decorate(handler):
        @functools.wraps(handler)
        async def check(request, *args, **kwargs):
            operator = _operator(request, settings)
            if operator is None:
                return _unauthorized()
            request.ctx.operator = operator
            return await handler(request, *args, **kwargs)

        return check

    return decorate


def _for_peers(settings):
    expected = settings.peer_token.encode()

    def decorate(handler):
        @functools.wraps(handler)
        async def check(request, *args, **kwargs):
            if not hmac.compare_digest(expected, _bearer(request).encode()):
                return _unauthorized()
            return await handler(request, *args, **kwargs)

        return check

    return decorate


def _add_peer_routes(app, peers, settings):
    for_peers = _for_peers(settings)

    @app.post(peers_module.EXCHANGE_PATH)
    @for_peers
    async def exchange(request):
        return _answer_peer(peers, request, rollup.DigestMessage, peers.answer)

    @app.post(peers_module.ZONES_PATH)
    @for_peers
    async def zones(request):
        return _answer_peer(
            peers, request, rollup.ZoneDigest, peers.answer_zone
        )

    @app.get(loader.SUMMARY_PATH)
    @for_peers
    async def summary(request):
        return response.json(codec.to_plain(peers.summary()))

    @app.get(loader.STATE_PATH)
    @for_peers
    async def state(request):
        return response.text(peers.state_text())


def _answer_peer(peers, request, kind, answer):
    peers.count_bytes('received', request.body)
    try:
        message = codec.from_text(request.body, kind)
    except errors.InvalidRecord as error:
        return response.json({'reason': str(error)}, status=400)
    body = codec.canonical(codec.to_compact(answer(message)))
    peers.count_bytes('sent', body)
    return response.raw(body, content_type='application/json')


def _add_state_routes(app, follower, peers, maintainer, settings):
    for_operators = _for_operators(settings)

    @app.get('/v1/status')
    @for_operators
    async def status(request):
        return response.json(_status(follower.state, peers, settings))

    @app.get('/v1/document')
    @for_operators
    async def document(request):
        state = follower.state
        return response.json(
            {'revision': state.revision, 'document': state.document}
        )

    @app.get('/v1/waves')
    @for_operators
    async def waves(request):
        return response.json(_waves(follower.state, maintainer.explain()))

    @app.get('/v1/explain/<name:str>')
    @for_operators
    async def explain(request, name):
        found = explaining.explain(follower.state, name, maintainer.explain())
        return response.json({'found': found})

    @app.get('/v1/audit')
    @for_operators
    async def audit(request):
        entries = list(follower.state.audit)[-MAX_AUDIT_ENTRIES:]
        return response.json({'entries': codec.to_plain(entries)})


def _status(state, peers, settings):
    peers.note(peers.digest())
    return {
        'daemon': settings.daemon,
        'zone': settings.zone,
        'revision': state.revision,
        'next_offset': state.next_offset,
        'members': [
            _member_status(member, peers.table.heard(member.incarnation))
            for member in state.members.values()
        ],
        'disruptions': codec.to_plain(list(state.disruptions.values())),
        'down_hosts': sorted(state.down_hosts),
    }


def _member_status(member, heard):
    return {
        'daemon': member.daemon,
        'incarnation': member.incarnation,
        'zone': member.zone,
        'revision': heard.digest.revision if heard else None,
        'next_offset': heard.digest.next_offset if heard else None,
    }


def _waves(state, wait_reasons):
    return {
        name: {
            'state': wave.state.value,
            'action': wave.action.value,
            'finished': sorted(state.finished.get(name, ())),
            'working': {
                host: disruption.step.value
                for host, disruption in state.disruptions.items()
                if disruption.wave == name
            },
            'reasons': {
                host: wait_reasons.get(host, '')
                for host, disruption in state.disruptions.items()
                if disruption.wave == name
            },
            'waiting': {
                host: wait_reasons.get(host, '')
                for host in waves_module.waiting_hosts(state, name)
                if host not in state.disruptions
            },
        }
        for name, wave in state.fleet.waves.items()
    }


def _add_apply_routes(app, follower, writer, settings):
    for_operators = _for_operators(settings)

    @app.post('/v1/applies')
    @for_operators
    async def apply(request):
        try:
            body = codec.from_plain(
                {**request.json, 'operator': request.ctx.operator},
                records.ConfigApplied,
            )
            decision = await writer.commit(
                body, APPLY_TIMEOUT_S, writer=body.operator
            )
        except errors.InvalidRecord as error:
            return response.json({'reason': str(error)}, status=400)
        except errors.PlatformUnavailable as error:
            return response.json(_outcome('not_applied', error), status=503)
        except errors.PlatformError as error:
            return response.json(_outcome('unknown', error), status=504)
        return response.json(_verdict(decision, follower.state))

    @app.get('/v1/applies/<apply_id:str>')
    @for_operators
    async def find(request, apply_id):
        decision = follower.state.verdicts.get(apply_id)
        if decision is None:
            return response.json({'outcome': 'unknown'}, status=404)
        return response.json(_verdict(decision, follower.state))


def _outcome(outcome, error):
    return {'outcome': outcome, 'reason': str(error)}


def _verdict(decision, state):
    return {
        'outcome': 'accepted' if decision.is_accepted else 'refused',
        'reason': decision.reason,
        'offset': decision.offset,
        'revision': state.revision,
    }

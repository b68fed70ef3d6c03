"""The exception tree of the project."""

import attrs


class HawthorndealError(Exception):
    """Be the root of every failure that the project reports itself."""

    reason = 'error'


@attrs.frozen
class Problem:
    """Name one thing that is wrong in a file.

    :ivar source: the file's name
    :ivar path: where in the file, as ``hosts.h1.pool``
    :ivar message: what is wrong, with the offending value
    """

    source: str
    path: str
    message: str

    def __str__(self):
        return f'{self.source}: {self.path}: {self.message}'


class InvalidFile(HawthorndealError):
    """Report every problem of a settings or fleet file at once.

    :param problems: the problems found, at least one
    """

    reason = 'invalid_file'

    def __init__(self, problems):
        self.problems = tuple(problems)
        super().__init__('\n'.join(str(problem) for problem in self.problems))


class InvalidRecord(HawthorndealError):
    """Report a log record that can't be decoded.

    :param why: what is wrong with it
    """

    reason = 'invalid_record'


class NotPlainData(InvalidRecord):
    """Report an entry that is not a mapping of plain JSON data."""

    reason = 'not_plain_data'


class RecordTooLarge(InvalidRecord):
    """Report an entry that is larger than any of ours."""

    reason = 'record_too_large'


class RecordTooDeep(InvalidRecord):
    """Report an entry that is nested deeper than any of ours."""

    reason = 'record_too_deep'


class UnknownKind(InvalidRecord):
    """Report a record of a kind that the rules in force don't know."""

    reason = 'unknown_kind'


class NewerLevel(InvalidRecord):
    """Report a record that asks for a rule level not in force."""

    reason = 'newer_level'


class PlatformError(HawthorndealError):
    """Be the root of failures of the platform's services."""

    reason = 'platform'


class PlatformUnavailable(PlatformError):
    """Report a call that certainly took no effect: nothing was sent."""

    reason = 'platform_unavailable'


class OutcomeUnknown(PlatformError):
    """Report a call that may have taken effect: its answer is lost."""

    reason = 'outcome_unknown'


class PlatformRefused(PlatformError):
    """Report a call that the platform answered with a refusal."""

    reason = 'platform_refused'


class PermissionLapsed(PlatformError):
    """Report a call that was not made: another daemon may act by now.

    :param host: the host that the call was about
    """

    reason = 'permission_lapsed'

    def __init__(self, host):
        self.host = host
        super().__init__(f'the permission to act on {host!r} has lapsed')


class AnswerTooDeep(PlatformError):
    """Report an answer that is nested too deep to be parsed."""

    reason = 'answer_too_deep'


class OffsetExpired(PlatformError):
    """Report a read from an offset that the log no longer holds.

    :param offset: the offset asked for
    :param first_offset: the first offset still held
    """

    reason = 'offset_expired'

    def __init__(self, offset, first_offset):
        self.offset = offset
        self.first_offset = first_offset
        super().__init__(
            f'offset {offset} expired, the log starts at {first_offset}'
        )


class OffsetBeyondEnd(PlatformError):
    """Report a read from an offset that the log has not reached.

    :param offset: the offset asked for
    :param next_offset: the offset that the next append will get
    """

    reason = 'offset_beyond_end'

    def __init__(self, offset, next_offset):
        self.offset = offset
        self.next_offset = next_offset
        super().__init__(
            f'offset {offset} is beyond the end of the log at {next_offset}'
        )


class RequestFailed(HawthorndealError):
    """Be the root of every final answer that is not the endpoint's own.

    :param detail: one sentence with the offending value
    :param retry_after_s: seconds until coming back makes sense, or None
    """

    outcome = 'unknown'
    reason = 'failed'
    status = 500

    def __init__(self, detail, retry_after_s=None):
        self.detail = detail
        self.retry_after_s = retry_after_s
        super().__init__(detail)


class NotRun(RequestFailed):
    """Report a request that certainly did not run."""

    outcome = 'not_run'
    reason = 'not_run'
    status = 503


class BadRequest(NotRun):
    """Report a request that can't be understood."""

    reason = 'bad_request'
    status = 400


class RequestTooLarge(NotRun):
    """Report a request whose body is over the limit."""

    reason = 'too_large'
    status = 413


class RequestTooSlow(NotRun):
    """Report a request that did not come whole in time."""

    reason = 'too_slow'
    status = 408


class UnknownService(NotRun):
    """Report a request for a service that the fleet doesn't have."""

    reason = 'unknown_service'
    status = 404


class UnknownWorkspace(NotRun):
    """Report a request of a workspace that doesn't own the service."""

    reason = 'unknown_workspace'
    status = 403


class QuotaExceeded(NotRun):
    """Report a request over its workspace's quota."""

    reason = 'quota_exceeded'
    status = 429


class Overloaded(NotRun):
    """Report a request that could not be served before its deadline."""

    reason = 'overloaded'
    status = 503


class NoEndpoint(NotRun):
    """Report a request for which no endpoint could be reached."""

    reason = 'no_endpoint'
    status = 503


class NotReady(NotRun):
    """Report a request to an entry host that may not route yet."""

    reason = 'not_ready'
    status = 503


class ShuttingDown(NotRun):
    """Report a request that came while the entry host is leaving."""

    reason = 'shutting_down'
    status = 503


class DeadlinePassed(NotRun):
    """Report a request whose deadline passed before it was sent."""

    reason = 'deadline_passed'
    status = 504


class ClaimUnavailable(NotRun):
    """Report a non-idempotent request whose claim could not be written."""

    reason = 'claim_unavailable'
    status = 503


class EndpointRefused(NotRun):
    """Report a request that the endpoint refused before running it."""

    reason = 'endpoint_refused'
    status = 503


class EndpointLeaving(EndpointRefused):
    """Report a request that the endpoint refused because it leaves."""

    reason = 'endpoint_leaving'


class TooManyConnections(NotRun):
    """Report a connection over the limit of this entry host."""

    reason = 'too_many_connections'
    status = 503


class UnknownOutcome(RequestFailed):
    """Report a request that may have run; it is never retried by us."""

    outcome = 'unknown'
    reason = 'unknown_outcome'
    status = 502


class AnswerLost(UnknownOutcome):
    """Report an answer that broke off or belonged to another request."""

    reason = 'answer_lost'


class AnswerLate(UnknownOutcome):
    """Report an answer that did not come before the deadline."""

    reason = 'answer_late'
    status = 504


class TicketExpired(UnknownOutcome):
    """Report a ticket too old to tell whether its request ran."""

    reason = 'ticket_expired'
    status = 409


class TicketHolderUnreachable(UnknownOutcome):
    """Report a ticket whose issuer is gone or can't be reached."""

    reason = 'ticket_holder_unreachable'
    status = 504


class AlreadyClaimed(UnknownOutcome):
    """Report a repeated non-idempotent request: the first may have run."""

    reason = 'already_claimed'
    status = 409

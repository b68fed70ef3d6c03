"""The exception hierarchy of the project."""

import attrs


class HawthorndealError(Exception):
    """Base class of all exceptions that the project raises itself."""

    reason = 'error'


@attrs.frozen
class Problem:
    """One problem found in a file.

    :ivar source: file name
    :ivar path: location within the file, such as ``hosts.h1.pool``
    :ivar message: description of the problem, with the offending value
    """

    source: str
    path: str
    message: str

    def __str__(self):
        return f'{self.source}: {self.path}: {self.message}'


class InvalidFile(HawthorndealError):
    """A settings or fleet file is invalid; carries all problems found.

    :param problems: at least one :class:`Problem`
    """

    reason = 'invalid_file'

    def __init__(self, problems):
        self.problems = tuple(problems)
        super().__init__('\n'.join(str(problem) for problem in self.problems))


class InvalidRecord(HawthorndealError):
    """A log record can't be decoded.

    :param why: reason for the failure
    """

    reason = 'invalid_record'


class NotPlainData(InvalidRecord):
    """A log entry is not a mapping of plain JSON data."""

    reason = 'not_plain_data'


class RecordTooLarge(InvalidRecord):
    """A log entry exceeds the size limit for records."""

    reason = 'record_too_large'


class RecordTooDeep(InvalidRecord):
    """A log entry exceeds the nesting limit for records."""

    reason = 'record_too_deep'


class UnknownKind(InvalidRecord):
    """The rules in force don't define the kind of a record."""

    reason = 'unknown_kind'


class NewerLevel(InvalidRecord):
    """A record requires a higher rule level than the one in force."""

    reason = 'newer_level'


class PlatformError(HawthorndealError):
    """Base class of failed calls to the platform's services."""

    reason = 'platform'


class PlatformUnavailable(PlatformError):
    """A call had no effect, because nothing was sent."""

    reason = 'platform_unavailable'


class OutcomeUnknown(PlatformError):
    """A call may have taken effect, because its answer was lost."""

    reason = 'outcome_unknown'


class PlatformRefused(PlatformError):
    """The platform refused a call."""

    reason = 'platform_refused'


class PermissionLapsed(PlatformError):
    """A call was not made, since another daemon may act on the host by now.

    :param host: host that the call was meant for
    """

    reason = 'permission_lapsed'

    def __init__(self, host):
        self.host = host
        super().__init__(f'the permission to act on {host!r} has expired')


class AnswerTooDeep(PlatformError):
    """An answer of the platform is nested too deeply to be parsed."""

    reason = 'answer_too_deep'


class OffsetExpired(PlatformError):
    """A read began at an offset that the log no longer retains.

    :param offset: requested offset
    :param first_offset: first offset that the log retains
    """

    reason = 'offset_expired'

    def __init__(self, offset, first_offset):
        self.offset = offset
        self.first_offset = first_offset
        super().__init__(
            f'offset {offset} expired, the log starts at {first_offset}'
        )


class OffsetBeyondEnd(PlatformError):
    """A read began at an offset that the log has not reached.

    :param offset: requested offset
    :param next_offset: offset that the next append will get
    """

    reason = 'offset_beyond_end'

    def __init__(self, offset, next_offset):
        self.offset = offset
        self.next_offset = next_offset
        super().__init__(
            f'offset {offset} is beyond the end of the log at {next_offset}'
        )


class RequestFailed(HawthorndealError):
    """Base class of final answers that don't come from an endpoint.

    :param detail: one sentence with the offending value
    :param retry_after_s: seconds after which the caller may retry, or None
    """

    outcome = 'unknown'
    reason = 'failed'
    status = 500

    def __init__(self, detail, retry_after_s=None):
        self.detail = detail
        self.retry_after_s = retry_after_s
        super().__init__(detail)


class NotRun(RequestFailed):
    """A request is guaranteed not to have run."""

    outcome = 'not_run'
    reason = 'not_run'
    status = 503


class BadRequest(NotRun):
    """A request is malformed."""

    reason = 'bad_request'
    status = 400


class RequestTooLarge(NotRun):
    """The body of a request exceeds the size limit."""

    reason = 'too_large'
    status = 413


class RequestTooSlow(NotRun):
    """A request was not received completely in time."""

    reason = 'too_slow'
    status = 408


class UnknownService(NotRun):
    """A request names a service that the fleet doesn't declare."""

    reason = 'unknown_service'
    status = 404


class UnknownWorkspace(NotRun):
    """A request names a workspace that doesn't own the service."""

    reason = 'unknown_workspace'
    status = 403


class UnknownKey(NotRun):
    """A call carries no key, or one that belongs to no workspace."""

    reason = 'unknown_key'
    status = 401


class QuotaExceeded(NotRun):
    """A request exceeds the quota of its workspace."""

    reason = 'quota_exceeded'
    status = 429


class Overloaded(NotRun):
    """A request can't be served before its deadline under this load."""

    reason = 'overloaded'
    status = 503


class NoEndpoint(NotRun):
    """No endpoint could be reached for a request."""

    reason = 'no_endpoint'
    status = 503


class NotReady(NotRun):
    """The entry host is not ready to route requests yet."""

    reason = 'not_ready'
    status = 503


class ShuttingDown(NotRun):
    """A request arrived while the entry host was shutting down."""

    reason = 'shutting_down'
    status = 503


class DeadlinePassed(NotRun):
    """The deadline of a request passed before it was sent."""

    reason = 'deadline_passed'
    status = 504


class ClaimUnavailable(NotRun):
    """The claim on a non-idempotent request could not be written."""

    reason = 'claim_unavailable'
    status = 503


class EndpointRefused(NotRun):
    """The endpoint refused a request before running it."""

    reason = 'endpoint_refused'
    status = 503


class EndpointLeaving(EndpointRefused):
    """The endpoint refused a request because it is shutting down."""

    reason = 'endpoint_leaving'


class RequestQuarantined(NotRun):
    """Raised for content under which endpoints have crashed before."""

    reason = 'request_quarantined'


class TooManyConnections(NotRun):
    """A connection exceeds the connection limit of this entry host."""

    reason = 'too_many_connections'
    status = 503


class UnknownOutcome(RequestFailed):
    """A request may have run; only an idempotent one may be retried."""

    outcome = 'unknown'
    reason = 'unknown_outcome'
    status = 502


class AnswerLost(UnknownOutcome):
    """An answer was cut short or belonged to another request."""

    reason = 'answer_lost'


class ConnectionBroken(AnswerLost):
    """Raised when a connection broke before the whole answer."""


class EndpointsCrashed(UnknownOutcome):
    """Raised for a request under which endpoints have crashed."""

    reason = 'endpoints_crashed'


class AnswerLate(UnknownOutcome):
    """An answer did not arrive before the deadline."""

    reason = 'answer_late'
    status = 504


class TicketExpired(UnknownOutcome):
    """A ticket is too old to determine whether its request ran."""

    reason = 'ticket_expired'
    status = 409


class TicketHolderUnreachable(UnknownOutcome):
    """The issuer of a ticket is gone or unreachable."""

    reason = 'ticket_holder_unreachable'
    status = 504


class AlreadyClaimed(UnknownOutcome):
    """A non-idempotent request was repeated; the first may have run."""

    reason = 'already_claimed'
    status = 409

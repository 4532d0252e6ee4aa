"""Numbered result codes, the one vocabulary for every failure.

A code is shown as ``CS-nnnn``.  Its family is its first digit:

- 0: success
- 1: settings and command line
- 2: manifest
- 3: the caller's request
- 4: upstreams and attempts
- 5: reservations of idempotency keys
- 6: admission: queues, limits, deadlines
- 7: links between the processes of the fleet, membership
- 8: control: log, storage, submissions, administration
- 9: invariants

``docs/CODES.md`` is made from this table and a test compares the two.
"""

import typing

import expression

# Outcomes that a caller can be told in the Caraway-Outcome header.
COMPLETE = 'complete'
NOT_RUN = 'not-run'
UNKNOWN = 'unknown'


class Code(typing.NamedTuple):
    """One numbered result.

    :param number: the number shown, unique and never reused.
    :param name: a short stable name, words joined by hyphens.
    :param status: the HTTP status that carries it, 0 where none does.
    :param text: what happened, one sentence for a person.
    :param remedy: what an operator or caller can do about it.
    """

    number: int
    name: str
    status: int
    text: str
    remedy: str

    @property
    def label(self) -> str:
        """Return the code as it is shown, such as ``CS-0000``."""
        return 'CS-%04d' % self.number


class Failure(typing.NamedTuple):
    """A code with the circumstances of one occurrence.

    :param code: the numbered code.
    :param detail: what this occurrence concerns, for a person.
    """

    code: Code
    detail: str = ''

    def sentence(self) -> str:
        """Return the failure as one line for a person."""
        if not self.detail:
            return '%s %s' % (self.code.label, self.code.text)
        return '%s %s (%s)' % (self.code.label, self.code.text, self.detail)


TABLE: dict[int, Code] = {}


def define(
    number: int, name: str, status: int, text: str, remedy: str
) -> Code:
    """Add a code to the table.

    :raises ValueError: when the number or the name is taken already.
    """
    taken = number in TABLE or name in {code.name for code in TABLE.values()}
    if taken:
        raise ValueError('code %04d or name %s is taken' % (number, name))
    code = Code(number, name, status, text, remedy)
    TABLE[number] = code
    return code


def fail(code: Code, detail: str = '') -> expression.Result:
    """Return an ``Error`` result that carries a :class:`Failure`."""
    return expression.Error(Failure(code, detail))


# 0: success

OK = define(0, 'ok', 200, 'Done.', 'Nothing to do.')

# 1: settings and command line

SETTINGS_MISSING = define(
    1001,
    'settings-missing',
    0,
    'The settings file cannot be read.',
    'Check the path and its permissions.',
)
SETTINGS_MALFORMED = define(
    1002,
    'settings-malformed',
    0,
    'The settings file is not valid JSON.',
    'Mend the place that the message names.',
)
SETTINGS_INVALID = define(
    1003,
    'settings-invalid',
    0,
    'The settings hold an unknown key or a value of the wrong kind.',
    'Mend the paths that the message lists; docs/SETTINGS.md has them all.',
)
ADDRESS_IN_USE = define(
    1004,
    'address-in-use',
    0,
    'An address of the settings cannot be bound.',
    'Stop the process that holds it or change the settings.',
)
TLS_FILES_UNUSABLE = define(
    1005,
    'tls-files-unusable',
    0,
    'The certificate or key of the administration API cannot be used.',
    'Check the files that control.tls names and their permissions.',
)
FILE_UNREADABLE = define(
    1010,
    'file-unreadable',
    0,
    'A file of the command line cannot be read or written.',
    'Check the path and its permissions.',
)
KEY_EDIT_REFUSED = define(
    1016,
    'key-edit-refused',
    0,
    'The keys of the customer were not changed.',
    'See the customers and the digests of their keys: carawaystair customers.',
)
API_UNREACHABLE = define(
    1011,
    'api-unreachable',
    0,
    'No connection to the HTTP API could be made; nothing was sent.',
    'Check the address and that the process runs, or ask another one.',
)
API_ANSWER_LOST = define(
    1012,
    'api-answer-lost',
    0,
    'The HTTP API was asked but its answer was lost.',
    'A change may have been made; send it again with the same --id.',
)
API_ANSWER_ODD = define(
    1013,
    'api-answer-odd',
    0,
    'The answer is not one that the HTTP API of this version gives.',
    'Check that the address is that of an API of carawaystair.',
)
KEY_FILE_INVALID = define(
    1014,
    'key-file-invalid',
    0,
    'A key file cannot be read or is not one.',
    'Make it with "carawaystair keygen" and check path and permissions.',
)
CODE_UNKNOWN = define(
    1015,
    'code-unknown',
    0,
    'No result code has this number.',
    'Run "carawaystair codes" to see them all.',
)

OUTPUT_FAILED = define(
    1030,
    'output-failed',
    0,
    'A file asked for on the command line cannot be written.',
    'Check the path and its permissions.',
)

# 2: manifest

MANIFEST_MALFORMED = define(
    2001,
    'manifest-malformed',
    400,
    'The manifest is not valid JSON.',
    'Mend the place that the message names.',
)
MANIFEST_INVALID = define(
    2002,
    'manifest-invalid',
    422,
    'The manifest breaks a rule; nothing of it was applied.',
    'Mend every path that the message lists and submit again.',
)

# 3: the caller's request

NO_ROUTE = define(
    3001,
    'no-route',
    404,
    'No route of the manifest matches this host and path.',
    'Check the address, or add the route to the manifest.',
)
NOT_READY = define(
    3002,
    'not-ready',
    503,
    'This node does not yet know a current configuration.',
    'Ask another node; this one is starting or cut off.',
)
LEAVING = define(
    3003,
    'node-leaving',
    503,
    'This node is stopping and takes no new request.',
    'Ask another node.',
)

REQUEST_MALFORMED = define(
    3004,
    'request-malformed',
    400,
    'The request is not well-formed HTTP; its connection is closed.',
    'Mend the client; RFC 9112 has the rules that the detail names.',
)
HEAD_TOO_LARGE = define(
    3005,
    'head-too-large',
    431,
    'A line or the number of headers of the request exceeds the bounds.',
    'Send fewer or shorter headers; docs/operate/answers.md has the bounds.',
)
BODY_TOO_LARGE = define(
    3006,
    'body-too-large',
    413,
    'The body of the request is longer than its service allows.',
    'Send less, or raise max_body of the service in the manifest.',
)
BODY_MALFORMED = define(
    3007,
    'body-malformed',
    400,
    'The body of the request ended early or is badly encoded.',
    'Mend the client: lengths and chunks must be exact.',
)
BODY_LATE = define(
    3008,
    'body-late',
    408,
    'The body of the request did not arrive within the deadline.',
    'Send faster, or bring a longer deadline.',
)
CUSTOMER_INVALID = define(
    3009,
    'customer-invalid',
    400,
    'Caraway-Customer is repeated, too long or has odd signs.',
    'Send one plain name of at most 128 characters.',
)
DEADLINE_INVALID = define(
    3010,
    'deadline-invalid',
    400,
    'Caraway-Deadline-Ms is not a whole number of milliseconds.',
    'Send one number from 0 to 3600000.',
)
DEADLINE_EXPIRED = define(
    3011,
    'deadline-expired',
    504,
    'The deadline passed before the request could be sent; it was not run.',
    'Bring a longer deadline, or try again later.',
)
METHOD_REFUSED = define(
    3012,
    'method-refused',
    501,
    'CONNECT, TRACE and upgrades do not go through this proxy.',
    'Ask the upstream itself.',
)
PATH_REFUSED = define(
    3013,
    'path-refused',
    400,
    'The path has dot segments, which could lead around the routes.',
    'Send the path in its normal form.',
)
EXPECTATION_UNKNOWN = define(
    3014,
    'expectation-unknown',
    417,
    'The request expects something other than 100-continue.',
    'Send no other Expect header.',
)
LOOP = define(
    3015,
    'loop',
    508,
    'The request has come through this node before.',
    'Check that no upstream address is that of a node.',
)
TOO_MANY_CONNECTIONS = define(
    3016,
    'too-many-connections',
    503,
    'This node has as many connections of callers as it takes.',
    'Reuse connections, or spread callers over more nodes.',
)
MEMORY_FULL = define(
    3017,
    'memory-full',
    503,
    'This node holds as much for its callers as it takes.',
    'Try again later, or on another node.',
)
CONFIG_BEHIND = define(
    3018,
    'config-behind',
    503,
    'This node knows no route for this, and that a newer configuration is in'
    ' force than the one it has.',
    'Ask again, or ask another node; if it lasts, see config_lag_seconds.',
)

KEY_UNKNOWN = define(
    3019,
    'key-unknown',
    401,
    'The request brings no key of a customer, or one that is not in force.',
    'Send "Authorization: Bearer KEY" with a key of the manifest.',
)
KEYS_UNCERTAIN = define(
    3020,
    'keys-uncertain',
    503,
    'This node has been out of touch with control for so long that a key may'
    ' have been taken away since.',
    'Ask another node; see keys_age_seconds and whether control has a quorum.',
)

# 4: upstreams and attempts

NO_UPSTREAM = define(
    4001,
    'no-upstream',
    503,
    'No upstream of the service can take the request.',
    'Try again later; check that upstreams announce themselves.',
)
CONNECT_FAILED = define(
    4002,
    'connect-failed',
    502,
    'No connection to an upstream could be made.',
    'Try again; the request was not run.',
)
ANSWER_LOST = define(
    4003,
    'answer-lost',
    502,
    'The upstream was sent the request but its answer was lost.',
    'The request may have run; ask for its state before repeating it.',
)
ANSWER_LATE = define(
    4004,
    'answer-late',
    504,
    'The upstream did not answer within the deadline.',
    'The request may have run; ask for its state before repeating it.',
)

ANSWER_UNBOUNDED = define(
    4005,
    'answer-unbounded',
    502,
    'The answer of the upstream does not tell where it ends.',
    'Let the upstream send Content-Length or chunks; the request has run.',
)
ANSWER_MALFORMED = define(
    4006,
    'answer-malformed',
    502,
    'The answer of the upstream is not well-formed HTTP.',
    'Mend the upstream; the request may have run.',
)
ANSWER_FOREIGN = define(
    4007,
    'answer-foreign',
    502,
    'The answer of the upstream names another request; it was dropped.',
    'Mend the upstream, which mixes up answers; the request may have run.',
)
UPSTREAM_REFUSED = define(
    4008,
    'upstream-refused',
    503,
    'Upstreams refused the request before running it.',
    'Try again when Retry-After says.',
)

CRASHES_UPSTREAMS = define(
    4009,
    'crashes-upstreams',
    503,
    'Upstreams crashed while they ran this request; it is not run again.',
    'Mend the request or the upstream; "carawaystair suspects" shows what is'
    ' known, and clears it.',
)
SUSPECT_UNKNOWN = define(
    4010,
    'suspect-unknown',
    404,
    'No upstream is known to have crashed under such a request.',
    'Check the digest; "carawaystair suspects" lists them all.',
)

UPSTREAMS_LIMITED = define(
    4011,
    'upstreams-limited',
    503,
    'The upstreams of the service ask for fewer requests; it was not run.',
    'Try again when Retry-After says.',
)

ANSWER_UNREAD = define(
    4012,
    'answer-unread',
    502,
    'The answer was broken off: its reader had stopped, and its memory was'
    ' needed for another answer.',
    'Read answers as they arrive; the request has run.',
)

# 5: reservations of idempotency keys

KEY_REUSED = define(
    5001,
    'key-reused',
    422,
    'The idempotency key was used before with another request.',
    'Take a new key for a new request; repeat a request unchanged.',
)
KEY_NO_MAJORITY = define(
    5002,
    'key-no-majority',
    503,
    'No majority of replicas reserved the idempotency key in time.',
    'Nothing was sent; try again with the same key.',
)
KEYS_FULL = define(
    5003,
    'keys-full',
    503,
    'The replicas have no memory left for another idempotency key.',
    'Nothing was sent; shorten key_window_s or add nodes.',
)
KEYS_CUSTOMER_FULL = define(
    5004,
    'keys-customer-full',
    429,
    'The customer holds its whole share of the memory for keys.',
    'Nothing was sent; send fewer keyed requests within the window.',
)
KEY_INVALID = define(
    5005,
    'key-invalid',
    400,
    'The idempotency key is empty or too long.',
    'Send a key of 1 to 255 bytes.',
)
KEY_RUNNING = define(
    5006,
    'key-running',
    409,
    'A request with this idempotency key runs or its end is unknown.',
    'Ask for its state before taking another key.',
)
KEY_ANSWER_GONE = define(
    5007,
    'key-answer-gone',
    409,
    'The request with this key ran; its answer was not kept.',
    'It ran once and is complete; ask the service for its result.',
)
KEYS_NOT_PLACED = define(
    5008,
    'keys-not-placed',
    503,
    'This node does not know which replicas hold the key.',
    'Nothing was sent; try again, or check that control can be reached.',
)

# 6: admission

QUEUE_FULL = define(
    6001,
    'queue-full',
    503,
    'The queue of the service is full on this node; the request was not run.',
    'Wait as long as Retry-After says, then try again.',
)
DEADLINE_SHORT = define(
    6002,
    'deadline-short',
    503,
    'The request cannot finish before its deadline; it was not run.',
    'Bring a longer deadline, or wait as long as Retry-After says.',
)
DEADLINE_PASSED = define(
    6003,
    'deadline-passed',
    504,
    'The deadline passed before the request could start; it was not run.',
    'Bring a longer deadline, or try again later.',
)
CUSTOMER_QUEUE_FULL = define(
    6004,
    'customer-queue-full',
    429,
    "The customer's part of the queue is full; the request was not run.",
    'Send fewer requests at once, or raise the weight in the manifest.',
)

QUOTA_USED = define(
    6005,
    'quota-used',
    429,
    'The customer has sent as many requests as its rate and burst allow.',
    'Come back after Retry-After, or raise rate_per_s of the customer.',
)
QUOTA_UNKNOWN = define(
    6006,
    'quota-unknown',
    503,
    'No leader of control told in time whether the quota of the customer has'
    ' room for the request.',
    'Come back after Retry-After; if it lasts, see whether control has a'
    ' quorum.',
)

# 7: links between processes, membership

MESSAGE_MALFORMED = define(
    7001,
    'message-malformed',
    0,
    'A message between processes cannot be decoded.',
    'Check that all processes run versions that work together.',
)
MESSAGE_VERSION = define(
    7002,
    'message-version',
    0,
    'A message between processes has a wire version unknown here.',
    'Upgrade this process.',
)
MESSAGE_TOO_LARGE = define(
    7003,
    'message-too-large',
    0,
    'A message between processes is larger than allowed.',
    'Report it: no part of the fleet should send one.',
)
PEER_SILENT = define(
    7004,
    'peer-silent',
    0,
    'Another process of the fleet did not answer in time.',
    'Check that it runs and that the network lets both ways through.',
)
ANNOUNCEMENT_INVALID = define(
    7005,
    'announcement-invalid',
    400,
    "An upstream's announcement is not valid.",
    'Mend the fields that the message names.',
)

ANNOUNCEMENT_OLD = define(
    7006,
    'announcement-old',
    409,
    'The upstream is leaving or has started anew since this announcement.',
    'Announce a new start with a greater incarnation.',
)
TOO_MANY_UPSTREAMS = define(
    7007,
    'too-many-upstreams',
    429,
    'The host has as many upstreams as one node takes.',
    'Remove those that are gone, or spread them over more hosts.',
)
REGISTRY_STARTING = define(
    7008,
    'registry-starting',
    503,
    'This node has just started and asks which upstreams have left.',
    'Announce again with the next renewal.',
)
DEPARTURE_NOT_KEPT = define(
    7009,
    'departure-not-kept',
    503,
    'The upstream gets no new work, but only this process remembers it.',
    'Say again that it leaves; no other process of the fleet confirmed it.',
)

# 8: control

NOT_LEADER = define(
    8001,
    'not-leader',
    503,
    'This control host does not lead and knows no leader.',
    'Try again, or ask another control host.',
)
CONFLICT = define(
    8002,
    'conflict',
    409,
    'Another submission with the same parent was accepted first.',
    'Build the manifest again on the version that the answer names.',
)
STORAGE_FAILED = define(
    8003,
    'storage-failed',
    503,
    'The disk did not take a write; this control host has stepped aside.',
    'Check the disk, then restart the process.',
)
SUBMISSION_UNKNOWN = define(
    8004,
    'submission-unknown',
    404,
    'No submission with this id is remembered.',
    'It was not accepted, or so long ago that its answer is gone.',
)
CHANGE_TOO_LARGE = define(
    8005,
    'change-too-large',
    413,
    'The change has too many rows for one entry of the log.',
    'Split it into several submissions.',
)
VERSION_UNKNOWN = define(
    8006,
    'version-unknown',
    404,
    'The history does not reach back to this version.',
    'Submit the wanted manifest whole instead.',
)
VOTERS_BUSY = define(
    8007,
    'voters-busy',
    409,
    'Another change of the control group is not finished.',
    'Try again when it is committed.',
)
VOTER_UNFIT = define(
    8008,
    'voter-unfit',
    409,
    'This change of the control group is not possible now.',
    'See the detail: a learner must catch up before it votes.',
)
OUTCOME_UNKNOWN = define(
    8009,
    'outcome-unknown',
    503,
    'The change was sent to the log, but nobody confirmed it in time.',
    'It may still be accepted: ask for the answer with the same id.',
)
CONTROL_BUSY = define(
    8010,
    'control-busy',
    503,
    'Too many changes wait for the log.',
    'Try again later with the same id.',
)
DISK_FULL = define(
    8011,
    'disk-full',
    503,
    'The disk of this control host is full; it has stepped aside.',
    'Make room; the host returns by itself.',
)
LOG_CORRUPT = define(
    8012,
    'log-corrupt',
    0,
    'A row of the log that had been synced cannot be read any more.',
    'Check the disk; see docs/operate/lost-quorum.md.',
)
SNAPSHOT_CORRUPT = define(
    8013,
    'snapshot-corrupt',
    0,
    'A file of the control state fails its checksum.',
    'Check the disk; see docs/operate/lost-quorum.md.',
)
STALE_COPY = define(
    8014,
    'stale-copy',
    0,
    'This disk holds an older copy of what this host had acknowledged.',
    'Nothing: the host sets it aside and joins as a learner.',
)
LOG_TAIL_CUT = define(
    8015,
    'log-tail-cut',
    0,
    'The log ended in a write that was never synced; it was cut off.',
    'Nothing: this follows a crash or a loss of power.',
)
IDENTITY_IN_USE = define(
    8016,
    'identity-in-use',
    409,
    'Another live process holds the name of this control host.',
    'Give each control host its own name and data folder.',
)
FOLDER_IN_USE = define(
    8017,
    'folder-in-use',
    0,
    'Another process holds the data folder.',
    'Stop it, or give this process its own folder.',
)
SYNC_SLOW = define(
    8018,
    'sync-slow',
    503,
    'A sync to disk did not end in time; this control host stepped aside.',
    'Check the disk; the host returns once the sync has ended.',
)
ID_REUSED = define(
    8019,
    'id-reused',
    409,
    'This submission id was accepted before with other content.',
    'Give each submission its own id.',
)
TOKEN_REFUSED = define(
    8101,
    'token-refused',
    401,
    'The request brings no bearer token of any team.',
    'Send the token of your team: "carawaystair --token-file FILE".',
)
SCOPE_MISSING = define(
    8102,
    'scope-missing',
    403,
    "The team's token does not allow this.",
    'Ask the operators for the scope that the detail names.',
)
FOREIGN_CHANGE = define(
    8103,
    'foreign-change',
    403,
    'The change touches what belongs to another team; nothing was applied.',
    'Leave the paths that the message lists as they are in force.',
)
RATE_LIMITED = define(
    8104,
    'rate-limited',
    429,
    'The team asks more often than it may.',
    'Wait for the seconds that Retry-After names.',
)
BODY_REFUSED = define(
    8105,
    'body-refused',
    413,
    'The body is too large or came too slowly.',
    'Send less; the detail names the bound.',
)
REQUEST_INVALID = define(
    8106,
    'request-invalid',
    400,
    'The request to the administration API is not valid.',
    'Mend every place that the message lists; docs/API.md has them all.',
)
FLOOR_WOULD_BREAK = define(
    8107,
    'floor-would-break',
    409,
    'The planned stop would leave a service below its capacity floor.',
    'Bring up more upstreams elsewhere first, or stop fewer hosts at once.',
)
CAPACITY_UNKNOWN = define(
    8108,
    'capacity-unknown',
    503,
    'No node told what capacity a planned stop would leave.',
    'Check that nodes run and can reach this control host; try again.',
)
RESOURCE_UNKNOWN = define(
    8109,
    'resource-unknown',
    404,
    'The administration API has no such resource or method.',
    'See docs/API.md or GET /v1/openapi.json.',
)
ADMIN_FAILED = define(
    8110,
    'admin-failed',
    500,
    'The administration API failed; the change may have been made.',
    'Ask for the submission by its id; report the log line.',
)
ADMIN_BUSY = define(
    8111,
    'admin-busy',
    503,
    'Too many submissions are being read at once.',
    'Try again in a second.',
)

# 9: invariants

INVARIANT_BROKEN = define(
    9001,
    'invariant-broken',
    500,
    'The program found itself in a state that must never be.',
    'Keep the time line and report it.',
)

"""Header names of requests and answers on the platform."""

REQUEST_ID = 'Request-Id'
DEADLINE_MS = 'Deadline-Ms'
RETRY_AFTER = 'Retry-After'
#: Digest that a worker adds to its answers.
SEAL = 'Server-Seal'
#: Present where a worker states that it did not run a request.
NOT_EXECUTED = 'Not-Executed'
EXPECTED_WORKER = 'Expect-Instance'
#: Running and waiting requests and slots of the answering worker.
WORKER_LOAD = 'Instance-Load'
#: Requests per second that the answering worker takes from all machines.
WORKER_LIMIT = 'Server-Limit'
#: Present with the value 1 where the answering worker is leaving.
WORKER_LEAVING = 'Server-Leaving'
#: Prompt tokens and the largest number of output tokens.
TOKEN_COUNTS = 'Token-Counts'
PROMPT_PARTS = 'Prompt-Prefix'
#: Last event that the client received, as in server-sent events.
LAST_EVENT = 'Last-Event-Id'
#: Attempt of the client that brought the first event of the stream.
RESUMES = 'Resumes'
URGENCY = 'Request-Urgency'
#: Key of the client account, and its name for workers.
AUTHORIZATION = 'Authorization'
ACCOUNT = 'Tenant'
AUTHENTICATE = 'WWW-Authenticate'
STAGE = 'Serving-Stage'
KV_SOURCE = 'Kv-Source'
#: Address of a worker whose cached parts of the prompt are fetched first.
KV_FETCH = 'Kv-Fetch'

#: Headers to workers that only this system may set, in lower case.
SYSTEM_HEADERS = frozenset(
    (
        'deadline-ms',
        'expect-instance',
        'expect-version',
        'kv-backup',
        'kv-fetch',
        'kv-hold',
        'kv-source',
        'pin-ms',
        'request-urgency',
        'serving-stage',
    )
)
#: Headers that say who the client is, in lower case.
IDENTITY_HEADERS = frozenset(('authorization', 'tenant'))
#: Headers that concern one connection only, in lower case (RFC 9110, 7.6.1).
CONNECTION_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)

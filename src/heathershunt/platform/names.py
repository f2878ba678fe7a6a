"""Names on the wire, in one place. Header names are in lower case, as h11 has them."""

REQUEST_ID = b"heathershunt-request-id"
# Milliseconds that the sender goes on waiting, not a point in time.
DEADLINE = b"heathershunt-deadline-ms"
MODEL = b"heathershunt-model"
# Prompt tokens and the most output tokens, separated by a comma.
TOKEN_COUNTS = b"heathershunt-token-counts"
LENGTH_HINT = b"heathershunt-length-hint"
LAST_EVENT_ID = b"last-event-id"
# The name of the client account, set by this router alone.
ACCOUNT = b"heathershunt-tenant"
EXPECTED_TARGET = b"heathershunt-expect-instance"
EXPECTED_VERSION = b"heathershunt-expect-version"
# The chain of runners with their layers, not a number of hops.
CHAIN = b"heathershunt-hop-count"
RANK = b"heathershunt-request-priority"
# A receipt of the target for its whole answer.
RECEIPT = b"heathershunt-response-signature"
NOT_EXECUTED = b"heathershunt-not-executed"
# Address of the runner of a chain that caused the failure.
FAULTY_RUNNER = b"at-server"
AUTHORIZATION = b"authorization"
AUTHORIZATION_SCHEME = "Token"
HOST = b"host"
RETRY_AFTER = "retry-after"

CONFIGURATION_KEY = "op/config"
TARGET_PREFIX = "servers/"

REPORT_PATH = "/report"
ORDER_PATH = "/order"
READY_PATH = "/ready"
RESOLVE_PATH = "/resolve"
# Query parameter of a caller that asks for addresses: its failure domain.
CALLER_DOMAIN = "zone"
SETTINGS_VARIABLE = "HEATHERSHUNT_SETTINGS"

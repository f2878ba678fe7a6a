"""Names of the platform's protocol. Header names are in lower case, as in h11."""

REQUEST_ID = b"heathershunt-request-id"
# Milliseconds for which the sender still waits, not a point in time.
DEADLINE = b"heathershunt-deadline-ms"
MODEL = b"heathershunt-model"
# Number of prompt tokens and limit of output tokens, separated by a comma.
TOKEN_COUNTS = b"heathershunt-token-counts"
# Parts of the prompt in order, as ID:TOKENS separated by commas.
PROMPT_PARTS = b"heathershunt-prompt-prefix"
# Estimate of the caller for the number of output tokens.
LENGTH_HINT = b"heathershunt-length-hint"
LAST_EVENT_ID = b"last-event-id"
# Name of the client account, set only by this router.
ACCOUNT = b"heathershunt-tenant"
EXPECTED_TARGET = b"heathershunt-expect-instance"
EXPECTED_VERSION = b"heathershunt-expect-version"
# Despite its name, the chain of runners with their layers, not a number of hops.
CHAIN = b"heathershunt-hop-count"
RANK = b"heathershunt-request-priority"
# Signature of the target for its whole reply.
SIGNATURE = b"heathershunt-response-signature"
NOT_EXECUTED = b"heathershunt-not-executed"
# Address of the runner of a chain that caused the failure.
FAULTY_RUNNER = b"at-server"
# Requests a second that a target takes from all VMs together.
RATE_LIMIT = "server-limit"
# Set to 1 by a target that takes no more requests.
LEAVING = "server-leaving"
# Id of the process that answered, in some answers.
TARGET_ID = "heathershunt-instance-id"
AUTHORIZATION = b"authorization"
AUTHORIZATION_SCHEME = "Token"
HOST = b"host"
RETRY_AFTER = "retry-after"
# Number of times that the store was restored from a copy.
STORE_ERA = "store-era"

CONFIGURATION_KEY = "op/config"
TARGET_PREFIX = "servers/"

REPORT_PATH = "/report"
ORDER_PATH = "/order"
READY_PATH = "/ready"
RESOLVE_PATH = "/resolve"
# Query parameter of requests for addresses: the failure domain of the caller.
CALLER_DOMAIN = "zone"
SETTINGS_VARIABLE = "HEATHERSHUNT_SETTINGS"

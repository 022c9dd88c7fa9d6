"""Store keys, header names and paths of the platform's protocol."""

from ..headernames import HeaderNames

SETTINGS_VARIABLE = "TARRAGONCHUTE_NODE_FILE"

CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
TARGET_PREFIX = "servers/"
ROLLOUT_ORDER_PREFIX = "op/rollout/"
ROLLOUT_STATUS_PREFIX = "status/rollout/"

READY_PATH = "/ready"

ERA_HEADER = "store-era"
"""On all answers of the store, in lower case; rises each time the store comes back from
an older copy."""

HEADER_NAMES = HeaderNames(
    request_id=b"Request-Id",
    # Carries the remaining milliseconds, not a point in time.
    time_limit=b"Request-Deadline",
    expected_identity=b"Expect-Instance",
    not_run=b"Not-Executed",
    digest=b"Response-Stamp",
    included_digests=b"Part-Stamps",
    missing_shards=b"Missing-Parts",
    identity=b"Instance-Id",
    cold_left=b"Warmup-Remaining",
    leaving=b"Server-Leaving",
    customer=b"Tenant",
    credentials=b"Authorization",
)

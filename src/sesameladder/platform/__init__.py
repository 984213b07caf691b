"""Client of the users' platform: only translates calls and documents."""

from sesameladder.platform._advice import Advice, AdviceClient
from sesameladder.platform._documents import (
    decode_configuration,
    decode_job,
    decode_wave,
    encode_wave_status,
)
from sesameladder.platform._errors import (
    MALFORMED,
    CallNotSent,
    CallRejected,
    ConnectionLost,
    LeaseNotFound,
    NoTimeLeft,
    OutcomeUnknown,
    PlatformCallError,
    RateExceeded,
    RecordInvalid,
    RecordTooLarge,
    RevisionExpired,
    SettingsInvalid,
    UnexpectedResponse,
    decoding_record,
)
from sesameladder.platform._fields import (
    Fields,
    check_name,
    check_number,
    check_object,
    read_factor,
    read_name,
    read_number,
    read_text,
)
from sesameladder.platform._http import TRAFFIC, Traffic
from sesameladder.platform._limits import (
    MAX_AMOUNT,
    MAX_COUNTER,
    MAX_OCCURRENCES,
    MAX_PAYLOAD_BYTES,
    MAX_STEPS,
    MAX_SUBTASKS,
    MAX_TIME_MS,
)
from sesameladder.platform._service_http import classify_failure
from sesameladder.platform._settings import (
    NodeSettings,
    find_settings_path,
    parse_settings,
    read_settings,
)
from sesameladder.platform._store import (
    MAX_TRANSACTION_ENTRIES,
    Committed,
    Conflict,
    Put,
    RangeResult,
    StoreChange,
    StoreClient,
    StoredItem,
    WatchBatch,
)
from sesameladder.platform._vms import OrderOutcome, VmClient, VmList
from sesameladder.platform._workers import (
    StaleOwner,
    WorkerClient,
    WorkerReplaced,
    decode_worker,
)

CONFIGURATION_KEY = "op/config"
OPERATOR_PREFIX = "op/"
WAVE_PREFIX = "op/wave/"
WAVE_STATUS_PREFIX = "status/wave/"
WORKER_PREFIX = "servers/"

__all__ = [
    "CONFIGURATION_KEY",
    "MALFORMED",
    "MAX_AMOUNT",
    "MAX_COUNTER",
    "MAX_OCCURRENCES",
    "MAX_PAYLOAD_BYTES",
    "MAX_STEPS",
    "MAX_SUBTASKS",
    "MAX_TIME_MS",
    "MAX_TRANSACTION_ENTRIES",
    "OPERATOR_PREFIX",
    "TRAFFIC",
    "WAVE_PREFIX",
    "WAVE_STATUS_PREFIX",
    "WORKER_PREFIX",
    "Advice",
    "AdviceClient",
    "CallNotSent",
    "CallRejected",
    "Committed",
    "Conflict",
    "ConnectionLost",
    "Fields",
    "LeaseNotFound",
    "NoTimeLeft",
    "NodeSettings",
    "OrderOutcome",
    "OutcomeUnknown",
    "PlatformCallError",
    "Put",
    "RangeResult",
    "RateExceeded",
    "RecordInvalid",
    "RecordTooLarge",
    "RevisionExpired",
    "SettingsInvalid",
    "StaleOwner",
    "StoreChange",
    "StoreClient",
    "StoredItem",
    "Traffic",
    "UnexpectedResponse",
    "VmClient",
    "VmList",
    "WatchBatch",
    "WorkerClient",
    "WorkerReplaced",
    "check_name",
    "check_number",
    "check_object",
    "classify_failure",
    "decode_configuration",
    "decode_job",
    "decode_wave",
    "decode_worker",
    "decoding_record",
    "encode_wave_status",
    "find_settings_path",
    "parse_settings",
    "read_factor",
    "read_name",
    "read_number",
    "read_settings",
    "read_text",
]

"""Decoders of job bodies, the operator's configuration and maintenance waves."""

import json

from sesameladder.fleet import Wave
from sesameladder.jobs import (
    AdvicePolicy,
    Configuration,
    JobSpec,
    PoolPolicy,
    QueuePolicy,
    RequestLimits,
    StepSpec,
)
from sesameladder.platform._errors import (
    FieldInvalid,
    LimitExceeded,
    decoding_record,
)
from sesameladder.platform._fields import (
    Fields,
    check_name,
    check_number,
    check_object,
    read_factor,
    read_flag,
    read_list,
    read_name,
    read_number,
    read_text,
    read_whole,
)
from sesameladder.platform._limits import (
    MAX_AMOUNT,
    MAX_COUNTER,
    MAX_LASTING_OCCURRENCES,
    MAX_OCCURRENCES,
    MAX_PAYLOAD_BYTES,
    MAX_ROWS,
    MAX_STEPS,
    MAX_SUBTASKS,
    MAX_TIME_MS,
)
from sesameladder.platform._organisations import decode_organisations
from sesameladder.platform._workers import decode_resources

DEFAULT_MAX_BODY_BYTES = 262_144  # if the configuration names no limit


def decode_job(body: bytes) -> JobSpec:
    """Decode the body of a submitted job.

    Raises ``RecordTooLarge`` if it asks for more than the system carries, and
    ``RecordInvalid`` if it is malformed.
    """
    with decoding_record("job"):
        fields = check_object("the body", json.loads(body))
        rows = read_list(fields, "steps", MAX_STEPS)
        if not rows:
            raise FieldInvalid("steps is empty; a job needs at least one step")
        known: dict[StepSpec, StepSpec] = {}
        steps = tuple(
            # Equal steps are one object: a job that waits keeps all of them.
            known.setdefault(step, step)
            for step in (_decode_step(number, row) for number, row in enumerate(rows))
        )
        subtasks = sum(step.count for step in steps)
        if subtasks > MAX_SUBTASKS:
            raise LimitExceeded(
                f"the counts of steps add up to {subtasks}, more than {MAX_SUBTASKS}"
            )
        occurrences = read_whole(fields, "times", MAX_OCCURRENCES)
        limit = min(MAX_LASTING_OCCURRENCES, MAX_SUBTASKS // subtasks)
        if occurrences > limit and any(step.is_long_running for step in steps):
            raise LimitExceeded(
                f"times is {occurrences}, more than {limit} for steps that last"
            )
        return JobSpec(
            payload=read_text(fields, "spec", MAX_PAYLOAD_BYTES),
            steps=steps,
            occurrences=occurrences,
            first_due_ms=read_whole(fields, "startAtMs", MAX_TIME_MS),
            interval_ms=read_whole(fields, "intervalMs", MAX_TIME_MS),
        )


def _decode_step(number: int, value: object) -> StepSpec:
    name = f"steps[{number}]"
    row = check_object(name, value)
    try:
        return StepSpec(
            count=read_whole(row, "count", MAX_SUBTASKS, minimum=1),
            needs=decode_resources(row),
            estimate_ms=read_number(row, "estMs", MAX_TIME_MS),
            after=_decode_predecessors(number, row),
            is_checkpointable=read_flag(row, "checkpoints"),
            gang=read_flag(row, "gang"),
            same_rack=read_flag(row, "sameRack"),
            label=read_text(row, "requires"),
            data_rack=read_text(row, "dataRack"),
            max_per_worker=read_whole(row, "antiAffinity"),
            allows_copies=read_flag(row, "allowDup"),
            is_long_running=read_flag(row, "daemon"),
            image=read_text(row, "image"),
            tail_latency_target_ms=read_number(row, "targetMs", MAX_TIME_MS),
            is_best_effort=read_flag(row, "fills"),
            max_unavailable=read_whole(row, "mayMiss"),
        )
    except FieldInvalid as error:
        raise type(error)(f"{name}.{error}") from error


def _decode_predecessors(number: int, row: Fields) -> tuple[int, ...]:
    """Return the numbers of the earlier steps that a step comes after."""
    steps = read_list(row, "after", MAX_STEPS)
    if any(not _is_step_number(step) for step in steps):
        raise FieldInvalid("after holds something else than numbers of steps")
    if any(step >= number for step in steps):
        raise FieldInvalid("after names a step that is not an earlier one")
    return tuple(map(int, steps))


def _is_step_number(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


def decode_configuration(value: bytes) -> Configuration:
    """Decode the operator's configuration; raises ``RecordInvalid``."""
    with decoding_record("configuration"):
        fields = json.loads(value)
        if not isinstance(fields, dict):
            # The error must not show the value: it may hold keys.
            raise FieldInvalid("the configuration is not an object")
        pools = [_decode_pool(row) for row in fields["services"]]
        limits = check_object("limits", fields.get("limits") or {})
        return Configuration(
            version=check_number("version", fields["version"], MAX_COUNTER),
            queues=tuple(_decode_queue(row) for row in fields["routes"]),
            pools={pool.name: pool for pool in pools},
            max_body_bytes=read_number(limits, "bodyBytes") or DEFAULT_MAX_BODY_BYTES,
            organisations=(
                decode_organisations(fields["tenants"]) if "tenants" in fields else None
            ),
            limits=_decode_limits(limits),
        )


def _decode_limits(fields: Fields) -> RequestLimits:
    """Decode the limits of requests; one that is absent or 0 is not named."""
    header_timeout_ms = read_number(fields, "headerTimeoutMs", MAX_TIME_MS)
    idle_timeout_ms = read_number(fields, "idleTimeoutMs", MAX_TIME_MS)
    return RequestLimits(
        header_bytes=read_number(fields, "headerBytes") or None,
        body_bytes=read_number(fields, "bodyBytes") or None,
        header_timeout_s=header_timeout_ms / 1000 if header_timeout_ms else None,
        idle_timeout_s=idle_timeout_ms / 1000 if idle_timeout_ms else None,
    )


def _decode_queue(value: object) -> QueuePolicy:
    row = check_object("a queue", value)
    advice = row.get("advice")
    return QueuePolicy(
        name=read_name(row, "name"),
        host=read_name(row, "host"),
        path_prefix=read_name(row, "prefix"),
        pool=read_name(row, "service"),
        priority=read_number(row, "prio", minimum=-MAX_AMOUNT),
        max_attempts=read_number(row, "attempts") or 1,
        stretch=read_factor(row, "stretch", default=1.0),
        target_offset_ms=read_number(row, "goalMs", MAX_TIME_MS),
        timeout_ms=read_number(row, "timeoutMs", MAX_TIME_MS),
        advice=_decode_advice(check_object("advice", advice)) if advice else None,
        is_public=read_flag(row, "public"),
    )


def _decode_advice(row: Fields) -> AdvicePolicy:
    return AdvicePolicy(
        read_number(row, "decideMs"),
        read_number(row, "periodMs"),
        read_number(row, "validMs"),
    )


def _decode_pool(value: object) -> PoolPolicy:
    row = check_object("a pool", value)
    return PoolPolicy(
        read_name(row, "name"),
        read_flag(row, "admissionCheck"),
        read_flag(row, "spare"),
    )


def decode_wave(value: bytes) -> Wave:
    """Decode an operator's maintenance wave; raises ``RecordInvalid``."""
    with decoding_record("maintenance wave"):
        fields = check_object("the wave", json.loads(value))
        vms = read_list(fields, "machines", MAX_ROWS)
        return Wave(
            number=check_number("wave", fields["wave"], MAX_COUNTER),
            vms=tuple(check_name("machines", vm) for vm in vms),
            finish_within_s=_read_seconds(fields, "finishByS"),
            max_in_maintenance=check_number("cap", fields["cap"], MAX_AMOUNT),
        )


def _read_seconds(fields: Fields, name: str) -> float:
    check_number(name, fields[name], MAX_AMOUNT)
    return float(fields[name])


def encode_wave_status(done: bool) -> bytes:
    """Encode the status of a wave that operators read."""
    return json.dumps({"state": "done" if done else "running"}).encode()

"""Encodings of submissions, role holders, orders and summaries in the store."""

import json
from collections.abc import Mapping
from dataclasses import asdict, dataclass, field
from typing import Any

from sesameladder.accepted_work import PoolRoom
from sesameladder.fleet import EndedIncarnation, OrderedVm, PoolOrders, PoolSummary
from sesameladder.jobs import (
    AdvicePolicy,
    BacklogForecast,
    DurationCorrection,
    OrganisationForecast,
    QueueForecast,
    QueuePolicy,
    Submission,
    TrackedWorker,
)
from sesameladder.node._keys import cap_key
from sesameladder.node._results import CancelledFirst
from sesameladder.organisations import Amounts, CapRow
from sesameladder.platform import (
    MAX_AMOUNT,
    MAX_COUNTER,
    MAX_TIME_MS,
    Fields,
    RecordInvalid,
    check_name,
    check_number,
    check_object,
    decode_job,
    decoding_record,
    read_factor,
    read_name,
    read_number,
    read_text,
)

AMOUNTS_PER_ROW = 6  # granted and wanted: millicores, MB and GPUs


@dataclass(frozen=True, slots=True)
class RoleHolder:
    """Process that holds a role, with the number of its term."""

    node: str
    term: int
    strength: float = 0.0
    """Share of a pool's peak load that its VM can carry; 0 if not stated."""


def encode_submission(queue: QueuePolicy, body: bytes, organisation: str = "") -> bytes:
    """Encode a job with the policy of its queue at the time of acceptance."""
    fields = {
        "queue": queue.name,
        "priority": queue.priority,
        "max_attempts": queue.max_attempts,
        "stretch": queue.stretch,
        "goal_ms": queue.target_offset_ms,
        "advice": asdict(queue.advice) if queue.advice else None,
        "body": body.decode(),
    }
    if organisation:
        fields["organisation"] = organisation
    return _encode_json(fields)


def decode_submission(job: str, value: bytes, revision: int) -> Submission:
    """Decode a stored job; raises ``RecordInvalid``."""
    with decoding_record(f"stored job {job}"):
        fields = check_object("the record", json.loads(value))
        advice = fields["advice"]
        return Submission(
            job=job,
            queue=read_name(fields, "queue"),
            spec=decode_job(fields["body"].encode()),
            priority=read_number(fields, "priority", minimum=-MAX_AMOUNT),
            max_attempts=read_number(fields, "max_attempts"),
            stretch=read_factor(fields, "stretch", default=1.0),
            target_offset_ms=read_number(fields, "goal_ms", MAX_TIME_MS),
            advice=_decode_advice(check_object("advice", advice)) if advice else None,
            revision=revision,
            # Absent without an organisation, and in the records of older versions.
            organisation=read_text(fields, "organisation"),
        )


def _decode_advice(fields: Fields) -> AdvicePolicy:
    return AdvicePolicy(
        read_number(fields, "decision_ms"),
        read_number(fields, "per_worker_ms"),
        read_number(fields, "valid_ms"),
    )


def encode_holder(holder: RoleHolder) -> bytes:
    """Encode the holder of a role."""
    return _encode_json(asdict(holder))


def decode_holder(value: bytes) -> RoleHolder:
    """Decode the holder of a role; raises ``RecordInvalid``."""
    with decoding_record("holder of a role"):
        fields = check_object("the record", json.loads(value))
        return RoleHolder(
            read_name(fields, "node"),
            check_number("term", fields["term"], MAX_COUNTER),
            read_factor(fields, "strength", default=0.0),
        )


def encode_pool(pool: str) -> bytes:
    """Encode the pool of an accepted job."""
    return _encode_json({"pool": pool})


def encode_mark() -> bytes:
    """Encode that a job was cancelled before it was accepted."""
    return _encode_json({"is_cancelled_first": True})


def decode_acceptance(job: str, value: bytes) -> str | CancelledFirst:
    """Decode the pool of an accepted job, or the mark in its place.

    Raises ``RecordInvalid``.
    """
    with decoding_record(f"pool of job {job}"):
        record = check_object("the record", json.loads(value))
        if record.get("is_cancelled_first") is True:
            return CancelledFirst()
        return read_name(record, "pool")


def encode_names(names: tuple[str, ...]) -> bytes:
    """Encode a list of names."""
    return _encode_json(list(names))


def decode_names(value: bytes) -> tuple[str, ...]:
    """Decode a list of names; raises ``RecordInvalid``."""
    with decoding_record("list of names"):
        return tuple(check_name("a name", name) for name in json.loads(value))


@dataclass(frozen=True, slots=True)
class TrackedWorkersRecord:
    """What a pool's owner leaves to the next one about workers."""

    workers: tuple[TrackedWorker, ...] = ()
    long_leases_s: dict[str, float] = field(default_factory=dict)
    """Seconds for which a worker may hold a longer lease than an owner granted.

    By worker; an order to an earlier incarnation may have granted the lease.
    """


def encode_tracked_workers(record: TrackedWorkersRecord) -> bytes:
    """Encode the workers that may have runs of a pool."""
    return _encode_json(
        {
            "workers": {worker.worker: worker.born_ms for worker in record.workers},
            "waits_s": {
                worker.worker: worker.wait_s
                for worker in record.workers
                if worker.wait_s is not None
            },
            "long_leases_s": record.long_leases_s,
        }
    )


def decode_tracked_workers(value: bytes) -> TrackedWorkersRecord:
    """Decode the workers that may have runs of a pool; raises ``RecordInvalid``."""
    with decoding_record("tracked workers"):
        fields = json.loads(value)
        if isinstance(fields, list):  # older versions store the names only
            names = [check_name("a name", name) for name in fields]
            return TrackedWorkersRecord(tuple(map(TrackedWorker, names)))
        fields = check_object("the record", fields)
        workers = check_object("workers", fields["workers"])
        waits = check_object("waits_s", fields["waits_s"])
        long_leases = check_object("long_leases_s", fields["long_leases_s"])
        return TrackedWorkersRecord(
            tuple(
                TrackedWorker(
                    check_name("a worker", name),
                    check_number("its start", born_ms, MAX_TIME_MS),
                    read_factor(waits, name, default=0.0) if name in waits else None,
                )
                for name, born_ms in workers.items()
            ),
            {
                check_name("a worker", name): read_factor(
                    long_leases, name, default=0.0
                )
                for name in long_leases
            },
        )


def encode_orders(orders: PoolOrders) -> bytes:
    """Encode the orders of the fleet role to a pool's owner."""
    return _encode_json(asdict(orders))


def decode_orders(value: bytes) -> PoolOrders:
    """Decode the orders to a pool's owner; raises ``RecordInvalid``."""
    with decoding_record("orders to a pool"):
        fields = check_object("the record", json.loads(value))
        ended = tuple(
            EndedIncarnation(
                read_name(row, "worker"),
                read_number(row, "born_ms", MAX_TIME_MS),
                # Absent in the records of older versions.
                row.get("is_planned") is True,
            )
            for row in fields["ended"]
        )
        return PoolOrders(_decode_names(fields, "emptying"), ended)


def encode_ordered_vms(term: int, vms: list[OrderedVm]) -> bytes:
    """Encode the VMs that the fleet role's holder of a term orders."""
    workers = {vm.name: [vm.pool, vm.worker, vm.born_ms] for vm in vms if vm.worker}
    waves = {vm.name: vm.wave for vm in vms if vm.wave is not None}
    names = [vm.name for vm in vms]
    return _encode_json(
        {"term": term, "vms": names, "workers": workers, "waves": waves}
    )


def decode_ordered_vms(value: bytes) -> tuple[int, tuple[OrderedVm, ...]]:
    """Decode the term and the VMs of such a record; raises ``RecordInvalid``."""
    with decoding_record("record of ordered VMs"):
        fields = check_object("the record", json.loads(value))
        term = check_number("term", fields["term"], MAX_COUNTER)
        # Absent in the records of older versions.
        workers = check_object("workers", fields.get("workers") or {})
        waves = check_object("waves", fields.get("waves") or {})
        vms = []
        for name in _decode_names(fields, "vms"):
            pool, worker, born_ms = workers.get(name) or ("", "", 0)
            if worker:
                check_name("a pool", pool)
                check_name("a worker", worker)
            born_ms = check_number("its start", born_ms, MAX_TIME_MS)
            wave = waves.get(name)
            if wave is not None:
                wave = check_number("its wave", wave, MAX_COUNTER)
            vms.append(OrderedVm(name, pool, worker, born_ms, wave))
        return term, tuple(vms)


def encode_summary(summary: PoolSummary) -> bytes:
    """Encode the summary that a pool's owner stores."""
    fields = asdict(summary)
    if summary.forecast is None:
        del fields["forecast"]
    del fields["room"]
    if summary.room is not None:
        fields["room"] = summary.room.describe()
    return _encode_json(fields)


def decode_pending(value: bytes) -> dict[str, int]:
    """Decode only the pending jobs of a summary; raises ``RecordInvalid``."""
    with decoding_record("summary"):
        return _read_pending(check_object("the summary", json.loads(value)))


def _read_pending(fields: Fields) -> dict[str, int]:
    return {
        check_name("pending", name): check_number("pending", number, MAX_AMOUNT)
        for name, number in fields["pending"].items()
    }


def decode_summary(value: bytes) -> PoolSummary:
    """Decode the summary of a pool; raises ``RecordInvalid``."""
    with decoding_record("summary of a pool"):
        fields = check_object("the record", json.loads(value))
        return PoolSummary(
            pending=_read_pending(fields),
            drained=_decode_names(fields, "drained"),
            stoppable=_decode_names(fields, "stoppable"),
            orders_revision=check_number(
                "orders_revision", fields["orders_revision"], MAX_COUNTER
            ),
            lasting=_decode_names(fields, "lasting"),
            used_cores=check_number("used_cores", fields["used_cores"], MAX_AMOUNT),
            waiting_cores=check_number(
                "waiting_cores", fields["waiting_cores"], MAX_COUNTER
            ),
            # Absent in the summaries of older versions.
            late_cores=read_number(fields, "late_cores", MAX_COUNTER),
            offered_cores=read_number(fields, "offered_cores", MAX_COUNTER),
            forecast=_decode_forecast(fields.get("forecast")),
            room=_decode_room(fields.get("room")),
        )


def _decode_room(value: object) -> PoolRoom | None:
    """Decode the room of a summary; None without one that can be used.

    Older versions store none. The rest of a summary is read whatever it holds.
    """
    if value is None:
        return None
    try:
        with decoding_record("room of a pool"):
            fields = check_object("room", value)
            by_organisation = check_object(
                "held_by_organisation", fields["held_by_organisation"]
            )
            return PoolRoom(
                check_number("limit_bytes", fields["limit_bytes"], MAX_COUNTER),
                check_number(
                    "free_bytes", fields["free_bytes"], MAX_COUNTER, -MAX_COUNTER
                ),
                check_number(
                    "release_bytes_per_s", fields["release_bytes_per_s"], MAX_COUNTER
                ),
                {
                    name: check_number("held_by_organisation", held, MAX_COUNTER)
                    for name, held in by_organisation.items()
                },
            )
    except RecordInvalid:
        return None


def _decode_forecast(value: object) -> BacklogForecast | None:
    """Decode the forecast of a summary; None without one that can be used.

    Older versions store none. The rest of a summary is read whatever it holds.
    """
    if value is None:
        return None
    try:
        with decoding_record("forecast of a pool"):
            fields = check_object("forecast", value)
            queues = check_object("queues", fields["queues"])
            organisations = check_object("organisations", fields["organisations"])
            return BacklogForecast(
                check_number("fence", fields["fence"], MAX_COUNTER),
                check_number("computed_ms", fields["computed_ms"], MAX_TIME_MS),
                min(1.0, read_factor(fields, "certain_share", default=0.0)),
                min(1.0, read_factor(fields, "certain_share_beyond", default=0.0)),
                {name: _decode_queue_forecast(row) for name, row in queues.items()},
                {
                    name: OrganisationForecast(
                        _decode_factors([row["entitled_share"]])[0],
                        row["is_in_turn"] is True,
                    )
                    for name, row in organisations.items()
                },
            )
    except RecordInvalid:
        return None


def _decode_queue_forecast(row: Fields) -> QueueForecast:
    correction = check_object("correction", row["correction"])
    out_of_turn, in_turn = row["begins_beyond_rate_s"]
    return QueueForecast(
        _decode_factors(row["least_core_s"]),
        _decode_factors(row["begins_after_s"]),
        _decode_factors(row["ends_after_s"]),
        (_decode_factors(out_of_turn), _decode_factors(in_turn)),
        DurationCorrection(
            read_factor(correction, "ratio", default=1.0),
            read_factor(correction, "mean_s", default=0.0),
        ),
    )


def _decode_factors(values: list[object]) -> tuple[float, ...]:
    return tuple(
        read_factor({"a number": value}, "a number", default=0.0) for value in values
    )


def encode_cap_record(organisation: str, rows: Mapping[str, CapRow]) -> bytes:
    """Encode what the pools are granted of an organisation's cap, and want."""
    encoded = {
        pool: [*_list_amounts(r.granted), *_list_amounts(r.wanted)]
        for pool, r in rows.items()
    }
    return _encode_json({"organisation": organisation, "rows": encoded})


def decode_cap_record(key: str, value: bytes) -> tuple[str, dict[str, CapRow]]:
    """Decode an organisation's name and its rows by pool; raises ``RecordInvalid``."""
    with decoding_record("record of a cap"):
        fields = check_object("the record", json.loads(value))
        organisation = read_name(fields, "organisation")
        if cap_key(organisation) != key:
            raise RecordInvalid(f"the record of a cap has the key {key}")
        rows = {}
        for pool, row in check_object("rows", fields["rows"]).items():
            amounts = [check_number("an amount", n, MAX_COUNTER) for n in row]
            if len(amounts) != AMOUNTS_PER_ROW:
                raise RecordInvalid(f"a row of {len(amounts)} amounts")
            granted, wanted = Amounts(*amounts[:3]), Amounts(*amounts[3:])
            rows[check_name("a pool", pool)] = CapRow(granted, wanted)
        return organisation, rows


def _list_amounts(amounts: Amounts) -> list[int]:
    return [amounts.cpu_millis, amounts.memory_mb, amounts.gpus]


def _decode_names(fields: Fields, name: str) -> tuple[str, ...]:
    return tuple(check_name(name, text) for text in fields[name])


def _encode_json(fields: Any) -> bytes:
    return json.dumps(fields, separators=(",", ":")).encode()

"""``sesameladder status``: the latest ticket and the instances behind it."""

from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any

import cappa

from sesameladder.client._context import Context
from sesameladder.client._errors import InstanceUnreachable
from sesameladder.client._exit_codes import EXIT_CODE_HELP, ExitCode
from sesameladder.client._options import CommonOptions
from sesameladder.settings import ClientInstance
from sesameladder.tickets import Head, TicketLogError

MAX_CONCURRENT_CALLS = 16


@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """Status that one instance reports, or why it reports none."""

    instance: str
    """Instance id of the settings."""

    zone: str
    """Zone of the settings."""

    number: int | None
    """Configuration number; None when the instance gave no usable response."""

    plan_version: int | None
    """Version of the region plan on the instance; None like the number."""

    behind_since: float | None
    """Time when the instance first knew of a higher number, in Unix seconds."""

    roles: tuple[str, ...]
    """Roles and conditions, such as ``relay``, ``planner`` and ``draining``."""

    problem: str = ""
    """Why there is no usable response; empty when there is one."""


@cappa.command(
    name="status",
    help="Show what is in force on which instance.",
    description="Asks the store for the latest accepted ticket and every instance "
    "for its number, and shows which instances are behind and for how long. "
    + EXIT_CODE_HELP,
)
@dataclass
class ShowStatus(CommonOptions):
    """Show what is in force on which instance."""

    def run(self, context: Context) -> ExitCode:
        """Read the latest ticket from the store and the status of all instances."""
        rows = fetch_instance_statuses(context, context.settings.instances)
        head, problem = _read_head(context)
        known = [row.number for row in rows if row.number is not None]
        expected = head.number if head else max(known, default=0)
        lines = [_format_head(head, expected, problem)]
        lines += [_format_instance(row, expected, context.clock()) for row in rows]
        document = {
            "number": head.number if head else None,
            "digest": head.digest if head else None,
            "store_problem": problem,
            "instances": [
                _encode_instance(row, expected, context.clock()) for row in rows
            ],
        }
        context.print_result(lines, document)
        if head is None:
            return ExitCode.NOT_REACHED
        in_order = all(
            row.number is not None and row.number >= expected for row in rows
        )
        return ExitCode.DONE if in_order else ExitCode.NOT_IN_ORDER


def fetch_instance_statuses(
    context: Context, instances: Sequence[ClientInstance]
) -> list[InstanceStatus]:
    """Return the status of each instance, in the order of the settings."""
    with ThreadPoolExecutor(MAX_CONCURRENT_CALLS) as pool:
        return list(
            pool.map(
                lambda instance_settings: _fetch_status(context, instance_settings),
                instances,
            )
        )


def _fetch_status(
    context: Context, instance_settings: ClientInstance
) -> InstanceStatus:
    try:
        response = context.fetch(instance_settings.admin_address, "/-/status")
        return _decode_status(instance_settings, response)
    except InstanceUnreachable as error:
        problem = str(error)
    except (KeyError, TypeError, ValueError) as error:
        problem = f"malformed status: {error!r}"
    return InstanceStatus(
        instance_settings.instance,
        instance_settings.zone,
        None,
        None,
        None,
        (),
        problem,
    )


def _decode_status(instance_settings: ClientInstance, response: Any) -> InstanceStatus:
    # An instance that knows of no higher number reports null or 0.
    behind_since = response["behind_since"] or None
    return InstanceStatus(
        instance_settings.instance,
        instance_settings.zone,
        int(response["configuration_number"]),
        int(response["plan_version"]),
        None if behind_since is None else float(behind_since),
        tuple(name for name in ("relay", "planner", "draining") if response.get(name)),
    )


def _read_head(context: Context) -> tuple[Head | None, str]:
    try:
        return context.ticket_log.read_head(), ""
    except TicketLogError as error:
        return None, str(error)


def _format_head(head: Head | None, expected: int, problem: str) -> str:
    if head is None:
        return f"store not readable ({problem}); highest number known: {expected}"
    if head.ticket is None:
        return "no ticket was accepted yet"
    ticket = head.ticket
    return f"ticket {head.number} by {ticket.author}: {ticket.reason}"


def _format_instance(row: InstanceStatus, expected: int, now: float) -> str:
    label = f"  {row.instance:<16} {row.zone:<14}"
    if row.number is None:
        return f"{label} no usable answer: {row.problem}"
    state = "in force" if row.number >= expected else _format_lag(row, expected, now)
    roles = f" [{', '.join(row.roles)}]" if row.roles else ""
    return f"{label} {row.number:>6}  plan {row.plan_version:>6}  {state}{roles}"


def _format_lag(row: InstanceStatus, expected: int, now: float) -> str:
    tickets_behind = expected - (row.number or 0)
    if row.behind_since is None:
        return f"behind by {tickets_behind}, not yet noticed"
    return f"behind by {tickets_behind} for {max(0.0, now - row.behind_since):.1f} s"


def _encode_instance(row: InstanceStatus, expected: int, now: float) -> dict[str, Any]:
    behind_for_s = None
    if row.behind_since is not None:
        behind_for_s = round(max(0.0, now - row.behind_since), 3)
    return {
        "instance": row.instance,
        "zone": row.zone,
        "number": row.number,
        "plan_version": row.plan_version,
        "behind_by": None if row.number is None else max(0, expected - row.number),
        "behind_for_s": behind_for_s,
        "roles": list(row.roles),
        "problem": row.problem,
    }

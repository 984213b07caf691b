"""Whole sessions of the operators' command, compared with golden files.

``SESAMELADDER_REGENERATE_GOLDEN=1`` rewrites the files.
"""

import os
from dataclasses import replace
from pathlib import Path

import pytest

from sesameladder.client import ExitCode, main
from sesameladder.client.tests.session import NOW, Session
from sesameladder.planning import Phase, RegionPlan, VmRow
from sesameladder.tickets import TicketLog
from sesameladder.tickets.tests.samples import (
    build_small_ticket,
    build_ticket_document,
    parse_ticket_document,
)

GOLDEN = Path(__file__).parent / "golden"
SECOND_TICKET = {"reason": "give fitters more", "teams": {"fitters": {"weight": 5}}}
WAVE = {"pools": ["caps"], "start_s": NOW, "deadline_s": NOW + 7200}


def file_session(session: Session) -> None:
    session.write("first.json", build_ticket_document())
    session.write("more.json", SECOND_TICKET)
    session.run("ticket file first.json")
    session.run("ticket file first.json")
    session.run("ticket file more.json")
    session.run("ticket file more.json --number 2 --json")
    session.run("ticket file first.json --number 3")
    session.run("ticket file absent.json")
    session.write(
        "comments.json",
        "// after the fair\n{'author': 'ines', reason: 'less', /* one */\n"
        "teams: {fitters: {weight: 2}}}",
    )
    session.run("ticket file comments.json")
    session.write("broken.json", '{"number": 4,')
    session.run("ticket file broken.json")


def refusal_session(session: Session) -> None:
    TicketLog(session.store).file_ticket(parse_ticket_document(build_ticket_document()))
    invalid = {
        "number": 2,
        "author": "mara",
        "reason": "too much",
        "vms": {"w3": None, "w4": None, "w5": None},
        "maintenance": {"m1": {**WAVE, "deadline_s": NOW + 60}},
    }
    session.write("bad.json", invalid)
    session.run("ticket file bad.json")
    session.run("ticket file bad.json --json")
    session.write("late.json", {"reason": "x", "maintenance": invalid["maintenance"]})
    session.run("ticket check late.json")
    session.write("types.json", {"number": 2, "pool": {}, "teams": {"t": {}}})
    session.run("ticket file types.json")
    session.write("twice.json", '{"reason": "x", "vms": {"w1": null, "w1": null}}')
    session.run("ticket check twice.json")


def race_session(session: Session) -> None:
    TicketLog(session.store).file_ticket(parse_ticket_document(build_ticket_document()))
    session.write("mara.json", {**SECOND_TICKET, "number": 2})
    session.write("ines.json", {**SECOND_TICKET, "number": 2, "author": "ines"})
    session.run("ticket file ines.json")
    session.run("ticket file mara.json")
    session.run("ticket file mara.json --json")


def lost_answer_session(session: Session) -> None:
    session.write("first.json", build_ticket_document())
    session.write("more.json", SECOND_TICKET)
    session.store.responses_to_drop = 1
    session.run("ticket file first.json")
    session.store.responses_to_drop = 2
    session.sleep_callbacks = [lambda: setattr(session.store, "available", False)]
    session.run("ticket file more.json")
    session.run("ticket file more.json --number 2")
    session.store.available = True
    session.run("ticket file more.json --number 2")


def check_session(session: Session) -> None:
    session.write("first.json", build_ticket_document())
    session.run("ticket check first.json")
    session.run("ticket check first.json --json")
    session.run("ticket history")


def show_session(session: Session) -> None:
    file_tickets(session, 3)
    session.run("ticket show 2")
    session.run("ticket show 2 --json")
    session.run("ticket show 4")
    session.store.available = False
    session.run("ticket show 2")


def history_session(session: Session) -> None:
    file_tickets(session, 30)
    session.run("ticket history --count 3")
    session.run("ticket history --start 1 --count 2")
    session.run("ticket history --start 30 --json")


def status_session(session: Session) -> None:
    session.run("status")
    file_tickets(session, 3)
    for port, number, behind_since in ((7101, 3, None), (7102, 2, NOW - 1.5)):
        session.responses[f"127.0.0.1:{port}/-/status"] = {
            "instance": f"entry-a-{port - 7100}",
            "incarnation": 1,
            "zone": "a",
            "configuration_number": number,
            "plan_version": 8,
            "behind_since": behind_since,
            "draining": False,
            "cells": [],
            "relay": port == 7101,
            "planner": False,
        }
    session.responses["127.0.0.1:7103/-/status"] = {"instance": "entry-b-1"}
    session.run("status")
    session.run("status --json")
    session.store.available = False
    session.run("status")


def follow_session(session: Session) -> None:
    session.run("rollout follow --once")
    first = build_ticket_document(maintenance={"m1": WAVE})
    TicketLog(session.store).file_ticket(parse_ticket_document(first))
    rows = {
        f"w{n}": VmRow(f"w{n}", "caps", Phase.SERVING, NOW, zone="a") for n in range(6)
    }
    rows["w0"] = replace(rows["w0"], phase=Phase.REBOOTING, permit="wave:m1")
    session.run("rollout follow --wave m1 --once")
    write_plan(session, rows)
    session.run("rollout follow --wave m2")
    session.sleep_callbacks = [
        lambda: setattr(session.store, "available", False),
        lambda: setattr(session.store, "available", True),
        lambda: write_plan(session, finish_wave(rows)),
    ]
    session.run("rollout follow --wave m1 --json")
    session.run("rollout follow")
    rows_elsewhere = {"w0": replace(rows["w0"], zone="other")}
    write_plan(session, rows_elsewhere)
    session.run("rollout follow --once")
    session.store.compare_and_swap(
        "plan/south", session.store.get("plan/south").revision, b"new format"
    )
    session.run("rollout follow")


def dump_session(session: Session) -> None:
    session.responses["127.0.0.1:7101/-/dump"] = {"replica": {"number": 3}}
    session.run("dump entry-a-1")
    session.run("dump entry-a-1 --json")
    session.run("dump entry-a-2")
    session.run("dump entry-x-9")


def config_session(session: Session) -> None:
    session.run("config check")
    session.run("config check --json")


def test_bad_settings_are_refused(tmp_path, capsys, monkeypatch) -> None:
    """Guards against a command that runs with invalid or absent settings."""
    path = tmp_path / "client.jsonc"
    path.write_text('{"zone": 5}', encoding="utf-8")
    assert main(["status", "--settings", str(path)]) == ExitCode.UNREADABLE
    assert "client.jsonc: zone = 5" in capsys.readouterr().err
    monkeypatch.delenv("SESAMELADDER_SETTINGS", raising=False)
    assert main(["status"]) == ExitCode.UNREADABLE
    assert "SESAMELADDER_SETTINGS" in capsys.readouterr().err


SESSIONS = [
    file_session,
    refusal_session,
    race_session,
    lost_answer_session,
    check_session,
    show_session,
    history_session,
    status_session,
    follow_session,
    dump_session,
    config_session,
]


@pytest.mark.parametrize(
    "run_session", SESSIONS, ids=lambda run_session: run_session.__name__
)
def test_golden_session(run_session, tmp_path) -> None:
    """Guards against unintended changes of a subcommand's output and exit codes."""
    session = Session(tmp_path)
    run_session(session)
    text = session.transcript.replace(str(tmp_path), "FOLDER")
    path = GOLDEN / f"{run_session.__name__.removesuffix('_session')}.txt"
    if os.environ.get("SESAMELADDER_REGENERATE_GOLDEN"):
        path.write_text(text, encoding="utf-8")
    assert text == path.read_text(encoding="utf-8")


def file_tickets(session: Session, count: int) -> None:
    ticket_log = TicketLog(session.store)
    ticket_log.file_ticket(parse_ticket_document(build_ticket_document()))
    for number in range(2, count + 1):
        ticket_log.file_ticket(build_small_ticket(number))


def write_plan(session: Session, rows) -> None:
    entry = session.store.get("plan/south")
    plan = RegionPlan("south", version=1, rows=rows)
    session.store.compare_and_swap(
        "plan/south", entry.revision if entry else 0, plan.to_bytes()
    )


def finish_wave(rows):
    done = {
        name: replace(row, phase=Phase.SERVING, permit=None, maintained_at=NOW + 60)
        for name, row in rows.items()
    }
    done["w5"] = replace(rows["w5"], phase=Phase.SET_ASIDE, permit="wave:m1")
    return done

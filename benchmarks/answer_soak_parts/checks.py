"""Check a soak of answers by what clients and backends observed; each check returns a line per violation. Pure."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from benchmarks.answer_soak_parts.clients import PROMISES
from benchmarks.answer_soak_parts.deployment import REPEATABLE_ROUTES
from benchmarks.answer_soak_parts.records import AnswerRecords, Execution, Try
from benchmarks.answer_soak_parts.server import STREAM_EVENTS, plain_body, stream_event

STREAM_ROUTES = ("draft", "report")
LOG_DELAY_S = 1.5  # within which a data plane logs the requests that it served
KILL_SLACK_S = 0.2  # a response may reach its client shortly after the data plane was killed


class AnswerChecker:
    """Applies all checks to the records of one soak."""

    def __init__(self, records: AnswerRecords) -> None:
        self._records = records
        self._tries = {one.id: one for one in records.tries}
        self._executions: dict[str, list[Execution]] = {}
        for execution in records.executions:
            self._executions.setdefault(execution.id, []).append(execution)
        self._once = [one for one in records.tries if one.route not in REPEATABLE_ROUTES]

    def violations(self) -> dict[str, list[str]]:
        """Return the violations by the name of the check."""
        found: dict[str, Iterable[str]] = {
            "refused requests never ran": self._refused_but_executed(),
            "unread requests never ran": self._unread_but_executed(),
            "no try ran twice": self._tries_executed_twice(),
            "no request ran twice": self._requests_executed_twice(),
            "each answer its own": self._wrong_answers(),
            "only what clients sent": self._unknown_executions(),
            "the log tells each status": self._untold_statuses(),
            "the log tells each execution": self._untold_executions(),
            "all answer again": self._records.unrecovered,
            "orders fit the memory": ["an order exceeded a backend's memory"] * self._records.capacity_violations,
        }
        return {name: list(lines) for name, lines in found.items()}

    def _describe(self, one: Try) -> str:
        executions = [f"{run.backend} {run.at:.3f}" for run in self._executions.get(one.id, ())]
        trail = self._records.log_lines.get(one.id, [])
        return (
            f"{one.id} /{one.route}/ at {one.data_plane}, {one.sent_at:.3f} to {one.ended_at:.3f}, status {one.status}, "
            f"ran at {executions}, log {trail}"
        )

    def _refused_but_executed(self) -> Iterable[str]:
        for one in self._once:
            if one.status in PROMISES and one.id in self._executions:
                yield self._describe(one)

    def _unread_but_executed(self) -> Iterable[str]:
        for one in self._once:
            if one.was_unread and one.id in self._executions:
                yield self._describe(one)

    def _tries_executed_twice(self) -> Iterable[str]:
        for one in self._once:
            if len(self._executions.get(one.id, ())) > 1:
                yield self._describe(one)

    def _requests_executed_twice(self) -> Iterable[str]:
        counts: Counter[str] = Counter()
        for one in self._once:
            counts[one.original_id] += len(self._executions.get(one.id, ()))
        for original_id, count in counts.items():
            if count > 1:
                yield "; ".join(self._describe(one) for one in self._once if one.original_id == original_id)

    def _wrong_answers(self) -> Iterable[str]:
        for one in self._records.tries:
            if one.answered_id not in ("", one.id):
                yield f"{self._describe(one)}: answer of {one.answered_id}"
            elif one.is_complete and 200 <= one.status < 300 and one.body != self._expected_body(one):
                yield f"{self._describe(one)}: {one.body[:200]!r}"

    @staticmethod
    def _expected_body(one: Try) -> bytes:
        if one.route in STREAM_ROUTES:
            return b"".join(stream_event(one.id, number) for number in range(1, STREAM_EVENTS + 1))
        return plain_body(one.id, f"/{one.route}/{one.id}".encode())

    def _unknown_executions(self) -> Iterable[str]:
        for execution in self._records.executions:
            one = self._tries.get(execution.id)
            if one is None or execution.target != f"/{one.route}/{one.id}".encode():
                yield f"{execution.id} at {execution.backend}: {execution.target!r}"

    def _untold_statuses(self) -> Iterable[str]:
        """Yield tries whose client got a complete response that the data plane's log does not tell.

        A data plane that was killed need not tell the responses of its last second. A request whose head did not arrive is told
        without its id, by data plane and status.
        """
        unnamed = Counter((line["node"], line["status"]) for line in self._records.log_lines.get("", ()))
        kills = [one for one in self._records.disturbances if one.kind == "kill" or not one.is_planned]
        for one in self._records.tries:
            told = [line["status"] for line in self._records.log_lines.get(one.id, ())]
            was_killed = any(
                kill.process == one.data_plane and one.ended_at - KILL_SLACK_S <= kill.began_at <= one.ended_at + LOG_DELAY_S
                for kill in kills
            )
            if not one.is_complete or told == [one.status] or (was_killed and not told):
                continue
            if not told and unnamed[one.data_plane, one.status]:
                unnamed[one.data_plane, one.status] -= 1
                continue
            yield self._describe(one)

    def _untold_executions(self) -> Iterable[str]:
        """Yield executions at a backend that the log of an ended request does not name among its sends."""
        for request_id, executions in self._executions.items():
            for line in self._records.log_lines.get(request_id, ()):
                told = Counter(send["backend"] for send in line.get("attempts", ()) if send["connection"])
                if Counter(run.backend for run in executions) - told:
                    yield f"{request_id}: ran at {[run.backend for run in executions]}, log {line}"


def figures(records: AnswerRecords) -> dict[str, float]:
    """Return the figures of a soak: tries by outcome, executions, troubles and faults."""
    statuses = Counter(one.status for one in records.tries if one.is_complete)
    faults = Counter(disturbance.kind for disturbance in records.disturbances)
    return {
        "tries": len(records.tries),
        "requests": len({one.original_id for one in records.tries}),
        **{f"status {status}": count for status, count in sorted(statuses.items())},
        "unread": sum(one.was_unread for one in records.tries),
        "executions": len(records.executions),
        "sends": sum(len(line.get("attempts", ())) for lines in records.log_lines.values() for line in lines),
        **{f"trouble {name}": count for name, count in sorted(records.troubles.items())},
        **{f"fault {kind}": count for kind, count in sorted(faults.items())},
    }

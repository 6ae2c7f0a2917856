"""Check a soak by what its clients and backends observed: each check returns a line per violation. Pure functions."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable

from benchmarks.soak_parts.backends import plain_answer, stream_answer
from benchmarks.soak_parts.bounds import SoakBounds
from benchmarks.soak_parts.changes import KINDS
from benchmarks.soak_parts.history import History
from benchmarks.soak_parts.quota_check import check_quotas
from benchmarks.soak_parts.records import BackendRun, ClientRequest, Observations
from benchmarks.soak_parts.rollback_check import RollbackCheck

NOT_EXECUTED_STATUSES = (401, 404, 408, 421, 429, 503)  # statuses which state that a request was not executed and never will be
REJECTION_STATUSES = (401, 403, 404)  # statuses with which a request is rejected because of the configuration
STREAM_ROUTES = ("write", "talk")
RESUMABLE_ROUTE = "write"
MAX_STALL_S = 1.0  # after a longer stall of the soak's own event loop the timing checks are meaningless


def is_repeatable(request: ClientRequest) -> bool:
    """Return whether a request may be executed more than once."""
    return KINDS.get(request.route, "safe") == "safe" or request.route == RESUMABLE_ROUTE


def _describe(request: ClientRequest) -> str:
    timing = f"sent {request.sent_at:.2f} s, ended {request.ended_at:.2f} s"
    return f"{request.id} /{request.route}/ by {request.front}, {timing}, status {request.status}"


class SoakChecker:
    """Applies all checks to the observations of one soak.

    Args:
        observations: What the soak recorded.
        bounds: Bounds of the deployment.
    """

    def __init__(self, observations: Observations, bounds: SoakBounds) -> None:
        self._observations, self._bounds, self._history = observations, bounds, History(observations, bounds)
        self._requests = {request.id: request for request in observations.requests}
        self._runs: dict[str, list[BackendRun]] = {}
        for run in observations.runs:
            self._runs.setdefault(run.id, []).append(run)
        self._matched_runs = [(run, self._requests[run.id]) for run in observations.runs if run.id in self._requests]

    def violations(self) -> dict[str, list[str]]:
        """Return the violations by the name of the check."""
        found: dict[str, Iterable[str]] = {
            "no request lost": self._lost_requests(),
            "no request unanswered": self._unanswered_requests(),
            "none run twice": self._repeated_runs(),
            "each answer its own": self._wrong_answers(),
            "refused requests never ran": self._executed_after_rejection(),
            "requests unchanged": self._modified_requests(),
            "no run with a key never held": self._unknown_keys(),
            "no run with a key taken away": self._removed_keys(),
            "no run on a dropped route": self._dropped_routes(),
            "no key at a backend": self._keys_at_backends(),
            "Tenant is the key's": self._wrong_tenants(),
            "quotas kept": check_quotas(self._observations, self._bounds),
            "none refused that is allowed": self._rejected_though_allowed(),
            "none goes back to an older version": RollbackCheck(self._observations).violations(),
            "operator's changes kept": self._observations.operator_failures,
            "all answer again": self._observations.unrecovered,
            "no key in logs and pages": self._observations.leaks,
            "the soak kept up": self._stalls(),
        }
        return {name: list(lines) for name, lines in found.items()}

    def _lost_requests(self) -> Iterable[str]:
        """Yield requests whose connection ended before a complete response although their data plane had no unplanned fault."""
        for request in self._observations.requests:
            begin, was_executed = request.sent_at - self._bounds.contact_s, request.id in self._runs
            is_late = request.ended_at - request.sent_at > self._bounds.loss_slack_s
            was_interrupted = request.id in self._observations.broken_off
            if not request.is_cut or was_interrupted or not (was_executed or is_late):
                continue
            if not self._history.met_unplanned_fault(request.front, begin, request.ended_at):
                yield _describe(request)

    def _unanswered_requests(self) -> Iterable[str]:
        for request in self._observations.requests:
            begin = request.sent_at - self._bounds.contact_s
            if request.is_abandoned and not self._history.met_unplanned_fault(request.front, begin, request.ended_at):
                yield _describe(request)

    def _repeated_runs(self) -> Iterable[str]:
        for request_id, runs in self._runs.items():
            request = self._requests.get(request_id)
            if len(runs) > 1 and (request is None or not is_repeatable(request)):
                yield f"{request_id}: {len(runs)} runs at {[f'{run.backend} {run.at:.2f} s' for run in runs]}"

    def _wrong_answers(self) -> Iterable[str]:
        for request in self._observations.requests:
            if request.answered_id not in ("", request.id):
                yield f"{_describe(request)}: answer of {request.answered_id}"
            elif request.is_complete and 200 <= request.status < 300 and not self._has_right_answer(request):
                yield f"{_describe(request)}: {request.signature} {request.answer[:200]!r}"

    def _has_right_answer(self, request: ClientRequest) -> bool:
        if request.signature not in {run.backend for run in self._runs.get(request.id, ())}:
            return False
        if request.route in STREAM_ROUTES:
            return request.answer == stream_answer(request.id)
        return request.answer == plain_answer(request.signature, request.id, request.path, request.body)

    def _executed_after_rejection(self) -> Iterable[str]:
        for request in self._observations.requests:
            if request.status in NOT_EXECUTED_STATUSES and request.id in self._runs and not is_repeatable(request):
                yield _describe(request)

    def _modified_requests(self) -> Iterable[str]:
        for run in self._observations.runs:
            request = self._requests.get(run.id)
            if request is None:
                yield f"{run.id}: no client sent it"
            elif (run.target, run.body) != (request.path.encode(), request.body):
                yield f"{_describe(request)}: arrived as {run.method!r} {run.target!r} {run.body!r}"
            elif run.method != (b"POST" if request.body else b"GET"):
                yield f"{_describe(request)}: arrived as {run.method!r}"

    def _is_public(self, request: ClientRequest, until: float) -> bool:
        versions = self._history.possible_versions(request, until)
        return any(request.route in version.public_routes for version in versions)

    def _unknown_keys(self) -> Iterable[str]:
        for run, request in self._matched_runs:
            if not self._history.was_ever_configured(request.key, run.at) and not self._is_public(request, run.at):
                yield f"{_describe(request)}: ran at {run.at:.2f} s with {'an unknown' if request.key else 'no'} key"

    def _removed_keys(self) -> Iterable[str]:
        for run, request in self._matched_runs:
            versions = self._history.possible_versions(request, run.at)
            is_configured = any(request.key in version.key_owners for version in versions)
            if (
                not is_configured
                and not self._is_public(request, run.at)
                and self._history.was_ever_configured(request.key, run.at)
            ):
                versions_with_key = [one for one in self._observations.versions if request.key in one.key_owners]
                later = next((one for one in self._observations.versions if one.number > versions_with_key[-1].number), None)
                since = later.acknowledged_at if later is not None else math.nan
                yield f"{_describe(request)}: ran at {run.at:.2f} s, its key removed since {since:.2f} s"

    def _dropped_routes(self) -> Iterable[str]:
        for run, request in self._matched_runs:
            if not any(request.route in version.routes for version in self._history.possible_versions(request, run.at)):
                yield f"{_describe(request)}: ran at {run.at:.2f} s"

    def _keys_at_backends(self) -> Iterable[str]:
        for run in self._observations.runs:
            request, raw = self._requests.get(run.id), run.raw.lower()
            if b"authorization" in raw or (request is not None and request.key and request.key.encode() in raw):
                yield f"{run.id} at {run.backend}, {run.at:.2f} s"

    def _wrong_tenants(self) -> Iterable[str]:
        for run, request in self._matched_runs:
            tenants = run.values(b"tenant")
            expected = [self._history.owner(request.key).encode()]
            is_public = self._is_public(request, run.at)
            if tenants != expected and not (is_public and not tenants):
                yield f"{_describe(request)}: {tenants}, expected {expected}"

    def _rejected_though_allowed(self) -> Iterable[str]:
        for request in self._observations.requests:
            if request.status in REJECTION_STATUSES and request.is_complete and self._is_always_allowed(request):
                yield _describe(request)

    def _is_always_allowed(self, request: ClientRequest) -> bool:
        """Return whether the data plane was in contact and every version that it may have applied allows a request."""
        if self._history.apply_time_s(request, request.ended_at) == math.inf:
            return False
        versions = self._history.possible_versions(request, request.ended_at)
        return all(
            request.route in version.routes and (request.key in version.key_owners or request.route in version.public_routes)
            for version in versions
        )

    def _stalls(self) -> Iterable[str]:
        if self._observations.largest_stall_s > MAX_STALL_S:
            yield (
                f"the soak's event loop stalled for {self._observations.largest_stall_s:.2f} s and used "
                f"{self._observations.largest_stall_processor_s:.2f} s of processor time: machine too busy to check"
            )


def served_shares(observations: Observations, bounds: SoakBounds) -> dict[str, float]:
    """Return the fraction of successful responses to each tenant's requests whose key was configured when they were sent."""
    history, sent_requests, served = History(observations, bounds), Counter(), Counter()
    for request in observations.requests:
        sent_versions = [one for one in observations.versions if one.sent_at <= request.sent_at]
        if sent_versions and request.key in sent_versions[-1].key_owners:
            name = history.owner(request.key)
            sent_requests[name] += 1
            served[name] += request.is_complete and 200 <= request.status < 300
    return {f"served, {name}": round(served[name] / count, 3) for name, count in sorted(sent_requests.items())}


def figures(observations: Observations) -> dict[str, float]:
    """Return the figures of a soak: requests by outcome, runs, versions, faults."""
    requests = observations.requests
    statuses = Counter(request.status for request in requests if request.is_complete)
    by_status = {f"status {status}": count for status, count in sorted(statuses.items())}
    kinds = Counter(disturbance.kind for disturbance in observations.disturbances)
    return {
        "requests": len(requests),
        **by_status,
        "cut": sum(request.is_cut for request in requests),
        "abandoned": sum(request.is_abandoned for request in requests),
        "runs": len(observations.runs),
        "versions": len(observations.versions),
        **{f"fault {kind}": count for kind, count in sorted(kinds.items())},
        "largest stall, s": round(observations.largest_stall_s, 3),
        "processor time in it, s": round(observations.largest_stall_processor_s, 3),
    }

"""Arriving requests: validation, duplicates, and retries of requests that may already have executed."""

from __future__ import annotations

import math

from mulleinhatch.instance.request_state_machine.events import Action
from mulleinhatch.instance.request_state_machine.state import ReducerState
from mulleinhatch.instance.request_state_machine.tables import PendingRequest
from mulleinhatch.instance.retry_storms.duplicate_detection import RequestFingerprint, request_fingerprint
from mulleinhatch.instance.retry_storms.request_log import fingerprint

# Longest time that a retry is parked until it is proven to be a different request: a run plus the client's next request.
MAX_PARKED_S = 1.0

# Seconds before its deadline at which a request is no longer parked, so that the admission controller has time to decide.
PARKED_MARGIN_S = 0.5


class RequestArrivals(ReducerState):
    """Admits arriving requests to the controller, or answers them at once."""

    def _request_received(
        self,
        now: float,
        connection_id: int,
        request_id: str,
        request_type: str,
        tenant: str,
        age_s: float,
        remaining_wait_s: float,
        client_id: int,
        cost_s: float,
        memory_kb: float,
        is_retry: bool,
        key: str,
        body: bytes,
        rank: float = 0.0,
        is_handed_over: bool = False,
    ) -> None:
        """Validate a request and admit it, unless it can be answered at once.

        The arguments are not grouped into an object: this is the most frequent event, and the parser returns them this way.
        """
        self.counts["ops_read"] += 1
        if self.storms:
            self.storms.executed.confirm_response_read(connection_id)
        if request_type not in self.request_types:
            self.actions.append((Action.SEND_INVALID, connection_id, "op type"))
        elif self.tenants and tenant not in self.tenants:
            self.actions.append((Action.SEND_INVALID, connection_id, "tenant"))
        elif request_id in self.requests:
            self._move_to_new_connection(connection_id, request_id, request_type, tenant, body)
        elif self.controller is None:
            self.actions.append((Action.SEND_REJECTION, connection_id, 0.0, False, self.advice_level))
        elif self.completed_ids.contains(now, request_id):
            self._answer_completed_id(connection_id, request_id, fingerprint(0, request_type, tenant, key, body))
        elif self._is_key_in_use(now, now - age_s, request_type, tenant, key, body):
            self.actions.append((Action.SEND_INVALID, connection_id, "key in use"))
        else:
            arguments = (request_type, tenant, age_s, remaining_wait_s, client_id, cost_s, memory_kb, is_retry, key, rank)
            request = self.requests[request_id] = PendingRequest(
                request_id, connection_id, request_type, tenant, key, body, now - age_s, now + (remaining_wait_s or math.inf)
            )
            self.request_by_connection[connection_id] = request_id
            if self.keeps_handover_data:
                request.handover_data, request.is_from_peer = (
                    (now - age_s, client_id, cost_s, memory_kb, is_retry, rank),
                    is_handed_over,
                )
                self.counts["ops_from_peers"] += is_handed_over
            fingerprints = (
                request_fingerprint(client_id, request_type, tenant, key, body, rank, cost_s, memory_kb)
                if self.storms
                else None
            )
            if (
                fingerprints
                and is_retry
                and request_type in self.non_retryable_types
                and self.storms.executed.may_have_executed(now, fingerprints, self.storms.duplicates.are_costs_stable(now))
            ):
                return self._park_retry(now, request, fingerprints, arguments)
            self._admit(now, request, fingerprints, *arguments)

    def _health_check_received(self, now: float, connection_id: int) -> None:
        """Answer a health check."""
        self.counts["checks"] += 1
        if self.storms:
            self.storms.executed.confirm_response_read(connection_id)
        self.actions.append((Action.SEND_HEALTH, connection_id, self.healthy, self.advice_level))

    def _client_disconnected(self, now: float, connection_id: int) -> None:
        """Handle the disconnect of a client while its request was pending."""
        request_id = self.request_by_connection.get(connection_id)
        if request_id is None:
            return
        self.counts["callers_lost"] += 1
        request = self.requests[request_id]
        self._detach_connection(request)
        self.controller.record_abandonment(now, request_id)
        self._remove_if_finished(now, request)

    def _admit(
        self,
        now: float,
        request: PendingRequest,
        fingerprints: RequestFingerprint | None,
        request_type: str,
        tenant: str,
        age_s: float,
        remaining_wait_s: float,
        client_id: int,
        cost_s: float,
        memory_kb: float,
        is_retry: bool,
        key: str,
        rank: float,
    ) -> None:
        """Pass the request to the admission controller, with what is known of its duplicates."""
        if request_type in self.duplicate_windows:
            request.duplicate_of = self._find_original(now, request)
        if self.on_tenant_request:
            self.on_tenant_request(now, tenant)
        if self.on_client_request and not request.is_from_peer:
            self.on_client_request(now, cost_s)
        if self.storms:
            repeat, request.fingerprints = self.storms.duplicates.classify(
                now, fingerprints, is_retry, request_type in self.non_retryable_types
            )
            self.storms.record_request(now, client_id, repeat, age_s)
            self.storms.counts["repeats_unmarked"] += repeat and not is_retry
            is_retry = is_retry or repeat and self.storms.is_active  # an unmarked retry adds to the storm as well
        self.controller.record_arrival(
            now,
            request.request_id,
            self.request_types[request_type],
            age_s,
            remaining_wait_s,
            self.tenants.get(tenant, 0),
            request.duplicate_of,
            client_id,
            cost_s,
            memory_kb,
            is_retry,
        )
        if request.is_from_peer:
            self.controller.mark_received_from_peer(now, request.request_id)

    def _is_key_in_use(self, now: float, arrived_at: float, request_type: str, tenant: str, key: str, body: bytes) -> bool:
        """Return whether the idempotency key belongs to another, different request.

        Such a request is not a duplicate: answered from the other request's result, it would get a wrong result; executed, it
        might take effect twice.
        """
        scope = request_type, tenant, key
        if request_type not in self.duplicate_windows or not self.keys.is_known(scope):
            return False
        request_id = self.keys.find_original(scope, arrived_at, now)
        return bool(request_id) and not self.keys.matches(request_id, fingerprint(0, request_type, tenant, key, body))

    def _find_original(self, now: float, request: PendingRequest) -> str:
        """Return the id of the request that this one duplicates, or an empty string.

        An original that has not run may still be dropped, and this request may replace it. Later duplicates must still
        find the entry of the original, so its window is extended from this arrival.
        """
        if not request.key or not (request_id := self.keys.find_original(request.key_scope, request.arrived_at, now)):
            return ""
        leader = self.requests.get(request_id)
        if leader and not leader.may_have_run:
            self.keys.extend_window(request_id, request.arrived_at + self.duplicate_windows[request.request_type][0])
        return request_id

    def _answer_completed_id(self, connection_id: int, request_id: str, fingerprints: bytes) -> None:
        """Answer a request whose id was already executed and answered.

        Its client did not receive the answer, and the request must not execute again. Another client that uses the id must
        not get the result.
        """
        self.counts["ops_sent_again"] += 1
        result = self.keys.result(request_id)
        if result is None or not self.keys.matches(request_id, fingerprints):
            self.actions.append((Action.SEND_FAILURE, connection_id, self.advice_level))
        else:
            self.actions.append((Action.SEND_RESULT, connection_id, result, self.advice_level))

    def _move_to_new_connection(self, connection_id: int, request_id: str, *identity: object) -> None:
        """Continue an open request on another connection: it was sent again while its first connection closed.

        A different request under the same id comes from another client, which must not get the answer nor end the wait for it.
        """
        request = self.requests[request_id]
        self.counts["ops_sent_again"] += 1
        if identity != request.identity:
            self.actions.append((Action.SEND_INVALID, connection_id, "id in use"))
        elif request.connection_id is None:
            self.actions.append((Action.SEND_FAILURE, connection_id, self.advice_level))
        else:
            self.request_by_connection.pop(request.connection_id, None)
            self.actions.append((Action.ABANDON_CONNECTION, request.connection_id))
            request.connection_id, self.request_by_connection[connection_id] = connection_id, request_id

    def _park_retry(self, now: float, request: PendingRequest, fingerprints: RequestFingerprint, arguments: tuple) -> None:
        """Delay a marked retry of a non-retryable request that may already have executed here.

        If its cost figures equal those of that run, it is a retry of it and fails: whether the first attempt took effect cannot
        be determined, and it must not take effect twice. Otherwise it waits until the client has provably read the response
        to the first one, which proves that it is a different request.
        """
        until = min(now + MAX_PARKED_S, request.deadline - PARKED_MARGIN_S)
        if self.storms.executed.may_have_executed(now, fingerprints, True) or until <= now:
            return self._fail_possible_second_run(request, fingerprints, now)
        self.parked_retries[request.request_id] = until, now, request, fingerprints, arguments
        self.actions.append((Action.SET_TIMER, until - now, 0))

    def _resolve_parked_retries(self, now: float) -> None:
        """Admit parked retries that are proven to be different requests, and fail those whose parking time is over."""
        for request_id, (until, since, request, fingerprints, arguments) in list(self.parked_retries.items()):
            if request.connection_id is None:
                del self.parked_retries[request_id]  # the client disconnected
            elif not self.storms.executed.may_have_executed(now, fingerprints, self.storms.duplicates.are_costs_stable(now)):
                del self.parked_retries[request_id]
                self.storms.counts["retries_told_apart"] += 1
                request_type, tenant, age_s, remaining_wait_s, *more = arguments
                self._admit(
                    now,
                    request,
                    fingerprints,
                    request_type,
                    tenant,
                    age_s + now - since,
                    remaining_wait_s and remaining_wait_s - (now - since),
                    *more,
                )
            elif now >= until:
                del self.parked_retries[request_id]
                self._fail_possible_second_run(request, fingerprints, now)

    def _fail_possible_second_run(self, request: PendingRequest, fingerprints: RequestFingerprint, now: float) -> None:
        """Fail a retry that might execute a second time."""
        self.counts["repeats_of_run"] += 1
        # Possibly the retry of a different request that looks the same.
        self.storms.counts["repeats_of_run_alike"] += self.storms.duplicates.shared.contains(now, fingerprints.coarse)
        self._respond(now, request, Action.SEND_FAILURE)

"""Gossip I/O: one UDP socket, one timer, and the messages of the gossip core. Imported only where a fleet is configured."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import math
import socket
import time
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from mulleinhatch.instance.gossip.core import GossipNode, LocalState, interpreter_of
from mulleinhatch.instance.gossip.counters import FIGURES, MAX_HEAVY_HITTERS
from mulleinhatch.instance.gossip.heavy_hitters import HeavyHitters
from mulleinhatch.instance.gossip.messages import LEVELS, MAX_DATAGRAM_BYTES, STATES
from mulleinhatch.instance.request_state_machine.events import Event
from mulleinhatch.instance.request_state_machine.reducer import Reducer
from mulleinhatch.instance.runtime.callbacks import EventHandler
from mulleinhatch.instance.runtime.instance_settings import InstanceSettings

if TYPE_CHECKING:
    from mulleinhatch.instance.runtime.load_balancing import LoadBalancingService
    from mulleinhatch.instance.runtime.maintenance import MaintenanceService

LOG = logging.getLogger(__name__)
MAX_DATAGRAMS_PER_TURN = 64  # datagrams read before other work of the event loop
RECEIVE_BUFFER_BYTES = 1 << 18  # messages that arrive during a stall of the process must not be lost: they show who is alive
MAX_COUNTED_TENANTS = 256  # tenants with a counter of their own
RECENT_RUNS_S = 6.0  # time constant of the decayed run counts from which our interpreter is judged
MIN_REPORTED_ERROR_SHARE = 0.1  # error rate below which our interpreter is not reported
# Prefixes of the counters of dropped messages; the first drop of each kind is logged.
DROP_COUNTER_PREFIXES = (
    "unfit_",
    "members_refused",
    "names_elsewhere",
    "letters_without_levels",
    "upward_unfit",
    "sums_refused",
)
CALL_TIMEOUT_S = 2.0  # maximum duration of a call under a budget of concurrent calls


class GossipService:
    """Connects the gossip core to the socket, to the reducer and to the services built on gossip.

    Args:
        settings: Settings of the instance.
        reducer: Read for the figures that are reported.
        handle_event: Passes events to the reducer.
        request_shutdown: Called when the instance was granted a maintenance permit.
    """

    def __init__(
        self, settings: InstanceSettings, reducer: Reducer, handle_event: EventHandler, request_shutdown: Callable[[], None]
    ) -> None:
        self.settings, self.reducer = settings, reducer
        self.handle_event, self.request_shutdown = handle_event, request_shutdown
        self.bounds = settings.fleet
        self.counts: Counter[str] = Counter()
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.core: GossipNode | None = None
        self.load_balancing: LoadBalancingService | None = None
        self.maintenance: MaintenanceService | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.published_pieces: dict[str, list[tuple[float, float]]] = {}
        # Requests per tenant with a budget: in the current window and in the previous one.
        self.requested_counts: dict[str, list[int]] = {
            budget.tenant: [0, 0] for budget in self.bounds.budgets if budget.tenant and budget.window
        }
        self.window_started_at: dict[str, float] = {}
        self.heavy_hitters = HeavyHitters(MAX_COUNTED_TENANTS)
        self.last_counts, self.recent, self.recent_at = (
            (0, 0),
            [0.0, 0.0],
            0.0,
        )  # runs and errors: at the last heartbeat, and decayed
        self.max_retry_rate, self.redirect_share = math.inf, 0.0
        self.logged_drops: set[str] = set()  # counters whose drops were logged
        self.published_peer_load: tuple[float, bool, float, float] = (-1.0, False, math.inf, 0.0)

    def listen(self) -> None:
        """Open the socket and start the heartbeats."""
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.socket.bind(self.bounds.listen)
        host, port = self.socket.getsockname()
        address, now = self.bounds.advertise or f"{host}:{port}", time.monotonic()
        # The incarnation must grow over restarts, without a disk: it is the wall clock. If that was set back, the
        # others report the higher number (`Membership._resolve_name_conflict`).
        self.core = GossipNode(self.bounds, self.settings.name, address, int(1000.0 * time.time()), self.settings.seed, now)
        if self.settings.spread:
            from mulleinhatch.instance.runtime.load_balancing import LoadBalancingService

            self.load_balancing = LoadBalancingService(self.settings, self.core, self.reducer, self.handle_event, self._send)
        if self.settings.upkeep:
            from mulleinhatch.instance.runtime.maintenance import MaintenanceService

            self.maintenance = MaintenanceService(self.settings, self.core, self.reducer, self._send, self.request_shutdown)
        self.reducer.on_tenant_request = self._record_tenant_request if self.reducer.tenants else None
        LOG.info("gossip started", extra={"fields": {"fleet": self.bounds.fleet, "address": address}})
        loop = asyncio.get_running_loop()
        loop.add_reader(self.socket.fileno(), self._readable)
        self._publish_budget_shares(now)
        self._heartbeat()

    def close(self) -> None:
        """Close the socket and the services built on gossip."""
        if self.timer:
            self.timer.cancel()
        if self.load_balancing:
            self.load_balancing.close()
        if self.maintenance:
            self.maintenance.close()
        asyncio.get_running_loop().remove_reader(self.socket.fileno())
        self.socket.close()

    def leave(self) -> None:
        """Announce the departure: borrowed budget is returned, and waiting requests use the instance's own share."""
        if self.core and not self.core.members.left:
            now = time.monotonic()
            self._send(self.core.leave(now))
            self._publish_budget_shares(now)

    def _record_tenant_request(self, now: float, tenant: str) -> None:
        self.heavy_hitters.add(now, tenant)
        if counts := self.requested_counts.get(tenant):
            counts[0] += 1

    def _demands(self, now: float) -> tuple[float, ...]:
        """Return the demand for each budget in units per window, weighted over the current and the last window."""
        demands = []
        for budget in self.bounds.budgets:
            counts = self.requested_counts.get(budget.tenant) if budget.window else None
            if budget.retries:
                demands.append(self.reducer.storms.detector.repeat_rate * budget.window if self.reducer.storms else 0.0)
                continue
            if counts is None:  # a limit on concurrency: waiting requests count as well
                demands.append(
                    float(
                        sum(request.tenant == budget.tenant for request in self.reducer.requests.values())
                        if budget.tenant
                        else self.reducer.run_count
                    )
                )
                continue
            since = self.window_started_at.setdefault(budget.tenant, now)
            if now - since >= budget.window:
                counts[1], counts[0], self.window_started_at[budget.tenant] = (
                    round(counts[0] * budget.window / (now - since)),
                    0,
                    now,
                )
                since = now
            elapsed = (now - since) / budget.window
            demands.append(counts[0] + (1.0 - elapsed) * counts[1])
        return tuple(demands)

    def _local(self, now: float) -> LocalState:
        reducer = self.reducer
        counts, controller = reducer.counts, reducer.controller
        storms = reducer.storms
        repeats = storms.counts["repeats_read"] if storms else 0
        # Requests handed over by peers are part of the peers' demand; counted twice, the fleet would look overloaded.
        reads = counts["ops_read"] - counts["ops_from_peers"] + (storms.rejected_retries if storms else 0)
        figures = [
            max(0, reads - repeats),
            repeats,
            counts["run_ok"],
            counts["decided_nack"],
            max(0, len(reducer.requests) - reducer.run_count - reducer.handed_over_count),
            max(0, reducer.run_count),
            round(min(1e9, controller.capacity())) if controller else 0,
            int(reducer.healthy and controller is not None),
            counts["run_error"],
            reducer.advertised_capacity(now),
        ]
        opinions = self._interpreter_opinions(now)
        if self.load_balancing:
            figures += self.load_balancing.core.figures(now)
            opinions += self.load_balancing.core.opinions(now)
        assert len(figures) <= len(FIGURES)
        hitters = [(hitter.name[:40], round(hitter.rate, 2)) for hitter in self.heavy_hitters.top(now, MAX_HEAVY_HITTERS)]
        return LocalState(figures, self._demands(now), hitters, opinions)

    def _interpreter_opinions(self, now: float) -> list[tuple[str, int, int]]:
        """Return the recent error rate of our interpreter, or nothing while it is healthy."""
        current_counts = (self.reducer.counts["run_ok"] + self.reducer.counts["run_error"], self.reducer.counts["run_error"])
        decay = math.exp(-(now - self.recent_at) / RECENT_RUNS_S)
        self.recent = [decay * old + new - before for old, new, before in zip(self.recent, current_counts, self.last_counts)]
        self.last_counts, self.recent_at = current_counts, now
        runs, errors = self.recent
        if runs < 1.0 or errors < MIN_REPORTED_ERROR_SHARE * runs:
            return []
        return [(interpreter_of(self.settings.name), round(100 * errors / runs), round(runs))]

    def _heartbeat(self) -> None:
        now = time.monotonic()
        self.timer = asyncio.get_running_loop().call_later(self.core.bounds.heartbeat_s, self._heartbeat)
        try:
            if self.load_balancing:
                self._send(self.load_balancing.heartbeat(now))
                self.redirect_share = self.load_balancing.core.redirect_fraction
            if self.maintenance:
                self._send(self.maintenance.tick(now))
            self._send(self.core.heartbeat(now, self._local(now)))
            self._publish_budget_shares(now)
            self._publish_peer_load(now)
            self._log_dropped_messages()
            for change in self.core.take_changes():
                LOG.info(
                    "fleet member changed state",
                    extra={"fields": {"member": change.name, "state": change.state, "why": change.why}},
                )
        except Exception:
            # The instance works without gossip: an exception here must not end it.
            self.counts["fleet_errors_inside"] += 1
            LOG.exception("unexpected exception", extra={"fields": {"at": "gossip heartbeat"}})

    def _log_dropped_messages(self) -> None:
        """Log each cause once; the counters show how often it occurred."""
        for name, count in {
            **self.core.counts,
            **(self.core.aggregation_tree.counts if self.core.aggregation_tree else {}),
        }.items():
            if count and name.startswith(DROP_COUNTER_PREFIXES) and name not in self.logged_drops:
                self.logged_drops.add(name)
                LOG.warning("dropped a gossip message", extra={"fields": {"why": name}})

    def _readable(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            try:
                data = self.socket.recv(MAX_DATAGRAM_BYTES + 1)
            except OSError:  # nothing more to read, or an ICMP error for a closed port
                return
            try:
                now = time.monotonic()
                self._send(self.core.handle_datagram(now, data))
                if self.load_balancing:
                    self._send(self.load_balancing.on_datagram(now))
                if self.maintenance:
                    self._send(self.maintenance.on_messages())
                self._publish_budget_shares(now)
            except Exception:
                self.counts["fleet_errors_inside"] += 1
                LOG.exception("unexpected exception", extra={"fields": {"at": "gossip datagram"}})

    def _send(self, datagrams: list[tuple[str, bytes]]) -> None:
        for address, data in datagrams:
            host, _, port = address.rpartition(":")
            with contextlib.suppress(OSError, OverflowError):  # the peer may be down or its address invalid
                self.socket.sendto(data, (host, int(port)))

    def _publish_budget_shares(self, now: float) -> None:
        """Report a changed share of a budget at once: units that were lent must not be used any more."""
        for budget, quota in zip(self.bounds.budgets, self.core.quotas):
            if budget.retries:
                self.max_retry_rate = quota.usable(now) / budget.window
                continue
            if not budget.tenant:
                share = float(quota.usable(now, CALL_TIMEOUT_S))
                if self.published_pieces.get(budget.name) != [(share, 0.0)]:
                    self.published_pieces[budget.name] = [(share, 0.0)]
                    self.handle_event(Event.DEPENDENCY_SHARE_CHANGED, share)
                continue
            pieces = quota.usable_pieces(now)
            if self.published_pieces.get(budget.name) != pieces:
                self.published_pieces[budget.name] = pieces
                self.handle_event(Event.TENANT_BUDGET_CHANGED, budget.tenant, budget.window, pieces)

    def _publish_peer_load(self, now: float) -> None:
        """Report the load of the peers when it changed noticeably."""
        peer_load = (self.core.free_fraction(now), self.core.is_judged_unhealthy(), self.max_retry_rate, self.redirect_share)
        before = self.published_peer_load
        if (
            peer_load[1] is not before[1]
            or (peer_load[0] < 0.0) is not (before[0] < 0.0)
            or peer_load[2] != before[2]
            or abs(peer_load[0] - before[0]) > 0.02
            or abs(peer_load[3] - before[3]) > 0.01
        ):
            self.published_peer_load = peer_load
            self.handle_event(Event.PEER_LOAD_CHANGED, *peer_load)

    def status_json(self) -> bytes:
        """Return what `mulleinhatch fleet` shows, as JSON."""
        core, now = self.core, time.monotonic()
        members = core.members
        rows = [
            {
                "name": members.name,
                "address": members.address,
                "state": "left" if members.left else "self",
                "heard": 0.0,
                "life": members.process_epoch,
                "incarnation": members.incarnation,
            }
        ]
        rows += [
            {
                "name": member.name,
                "address": member.address,
                "state": STATES[member.state],
                "life": member.process_epoch,
                "incarnation": member.incarnation,
                "heard": round(min(1e6, now - member.heard_at), 2),
            }
            for member in members.view.values()
        ]
        budgets = []
        for index, (budget, quota) in enumerate(zip(self.bounds.budgets, core.quotas)):
            budgets.append(
                {
                    "name": budget.name,
                    "total": budget.total,
                    "window": budget.window,
                    "tenant": budget.tenant,
                    "retries": budget.retries,
                    "home": quota.even_share,
                    "own": quota.own_units(now),
                    "usable": quota.usable(now),
                    "demand": round(core.demands[index], 1),
                    "lent": sum(loan.amount for loan in quota.loans.values()),
                    "borrowed": sum(grant.amount for grant in quota.borrowed.values() if now < grant.until),
                }
            )
        sums: dict[str, Any] = {figure: core.fleet_counters.total(now, figure)._asdict() for figure in FIGURES}
        hitters = [(name, *known) for name, known in core.fleet_counters.heavy_hitters(now, 8)]
        return json.dumps(
            {
                "fleet": self.bounds.fleet,
                "frozen": members.frozen,
                "doubled": members.has_duplicate_name(now),
                "members": rows,
                "budgets": budgets,
                "sums": sums,
                "out": core.ejected,
                "loudest": hitters,
                "judged_ill": core.is_judged_unhealthy(),
                "others_free": round(core.free_fraction(now), 3),
                "alone": sorted(core.outlier_detector.single_accusers),
                "held_back": core.outlier_detector.blocked_ejections,
                "levels": self._levels(now),
                "spread": self.load_balancing and self.load_balancing.status(now),
                "carried": self._carried(now),
            }
        ).encode()

    def _levels(self, now: float) -> dict[str, Any] | None:
        """Return the position of this member in the aggregation tree and what is known of each level."""
        levels = self.core.aggregation_tree
        if not levels:
            return None
        return {
            "region": levels.location.region,
            "zone": levels.location.zone,
            "group": levels.location.group,
            "speaks": levels.is_speaker(now),
            "over_pace": round(levels.byte_rate.excess),
            "totals": {name: total._asdict() for name, total in self.core.totals(now).items()},
            "parts": [
                {
                    "level": LEVELS[level],
                    "name": name,
                    "members": row.summary.members,
                    "silent": row.summary.silent,
                    "heard": round(min(1e6, now - row.seen_at), 1),
                    "made": round(min(1e6, now - row.made_at), 1),
                }
                for (level, name), row in sorted(levels.summaries.rows.items())
            ],
        }

    def _carried(self, now: float) -> list[dict[str, Any]]:
        """Return what each of the other members executes, by its last report."""
        if not self.load_balancing:
            return []
        return [
            {
                "name": name,
                "age": round(now - row.made_at, 2),
                **{
                    figure: round(row.value(figure), 1)
                    for figure in ("held", "running", "room", "places", "acked", "nacked", "failed")
                },
                "pace": row.value("pace") / 1000.0,
                "load": row.value("load") / 1000.0,
            }
            for name, row in sorted(self.core.fleet_counters.rows.items())
        ]

    def counters(self) -> dict[str, int]:
        """Return all counters and gauges by name."""
        if not self.core:
            return dict(self.counts)
        members = self.core.members
        services = {
            **(self.load_balancing.counters() if self.load_balancing else {}),
            **(self.maintenance.counters() if self.maintenance else {}),
        }
        counts = {
            **self.core.counts,
            **members.counts,
            **(self.core.aggregation_tree.counts if self.core.aggregation_tree else {}),
        }
        return {
            **self.counts,
            **services,
            **{f"fleet_{name}": count for name, count in counts.items()},
            "fleet_members": len(members.alive()) + 1,
            "fleet_is_frozen": int(members.frozen),
            "fleet_is_doubled": int(members.has_duplicate_name(time.monotonic())),
        }

"""One simulated quota history: a flood of one tenant under faults, then a calm time.

The flood is the worst case for the quota rule: data planes collect tokens while using few, and until a release time each
request is written as late as its permit allows; from then on requests are written at once.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from mulleinhatch.messages.cluster import QuotaGrant, QuotaLevel, QuotaRequest
from mulleinhatch.quotas.account import HANDOVER_TIMEOUT_S
from mulleinhatch.quotas.balance import Permit
from mulleinhatch.quotas.former_authority import FormerAuthority
from mulleinhatch.quotas.limits import FLIGHT_S, GRANT_LIFETIME_S, QuotaBounds, bucket_capacity
from mulleinhatch.quotas.owner import owner_address
from mulleinhatch.simulation.quotas.checks import GrantCheck, LimitHistory, WindowCheck
from mulleinhatch.simulation.quotas.defects import Defect, injected
from mulleinhatch.simulation.quotas.faults import FaultSchedule
from mulleinhatch.simulation.quotas.holder import MAX_ATTEMPTS, Holder, PendingRequest, Query
from mulleinhatch.simulation.quotas.machines import AUTHORITY_S, ControlPlaneMachine, DecidedView, ViewHistory
from mulleinhatch.simulation.virtual_time import EventQueue
from mulleinhatch.tenants.tenant import QuotaLimit, QuotaUnit, Tenant

TENANT = "fern"
ADDRESSES = tuple(f"10.0.0.{number}:7000" for number in range(1, 6))
QUERY_TIMEOUT_S = 0.25
MAX_LEARN_S = 0.3  # a connected control-plane node learns a view or a configuration within this time
CALM_LOAD = 0.8  # the load in the calm time, as a fraction of the rate
CALM_S = 4.0  # length of the settled part of the calm time, in which nothing may be refused
WRITE_MARGIN_S = 0.001  # the latest write is this long before a permit's expiry
LIMIT_APPLY_S = AUTHORITY_S + MAX_LEARN_S + FLIGHT_S + GRANT_LIFETIME_S  # a former limit may still have an effect for this time

RULES = (QuotaBounds(8.0, 0.1, 0.0), QuotaBounds(8.0, 0.1, 17_000.0), QuotaBounds(4.0, 0.25, 500.0))


@dataclass
class History:
    """The result of one history.

    Attributes:
        seed: The seed that determines the history.
        violations: Descriptions of the violations, in order.
        arrivals: Requests that arrived at backends.
        refused: Requests that were refused.
        refused_in_calm: Refused requests after the faults had ended and settled.
        asked_in_calm: Requests that arrived in that time.
        highest_fraction: The highest fraction of a window's allowance that arrived.
        handovers: Number of handovers, after which a new owner granted at once.
        shortened: Number of waits of a new owner that were shortened by the voters' answers.
        faults: Names of the faults.
    """

    seed: int
    violations: list[str] = field(default_factory=list)
    arrivals: int = 0
    refused: int = 0
    refused_in_calm: int = 0
    asked_in_calm: int = 0
    highest_fraction: float = 0.0
    handovers: int = 0
    shortened: int = 0
    faults: list[str] = field(default_factory=list)


class QuotaWorld:
    """The control-plane nodes, the network, the clients and the checks of one history.

    Args:
        source: Random source for all choices.
        history: Receives the results.
        defect: The injected defect; the world itself implements those that have no patch.
    """

    def __init__(self, source: random.Random, history: History, defect: Defect = Defect.NONE) -> None:
        self.source, self.history, self._defect = source, history, defect
        self.queue = EventQueue()
        self.tenant = TENANT
        self.bounds = source.choice(RULES)
        rate = source.choice((400.0, 4_200.0, 150_000.0))
        self.limits = LimitHistory(QuotaLimit(rate, rate * source.choice((0.5, 1.0))), LIMIT_APPLY_S)
        self.cost = int(rate * source.choice((0.05, 0.1)))
        self._version = 1
        self.views = ViewHistory()
        self._takeover_s = 0.0 if defect is Defect.GRANT_AT_ONCE else AUTHORITY_S
        self.machines = {address: self._machine(address) for address in ADDRESSES[: source.choice((3, 5))]}
        self._majority = len(self.machines) // 2 + 1
        self.holders = [Holder(f"f-{number}", source.uniform(-1e4, 1e4)) for number in range(source.choice((2, 4)))]
        self.window_check = WindowCheck(self.limits, self.bounds, GRANT_LIFETIME_S)
        self.grant_check = GrantCheck(self.limits, self.bounds, GRANT_LIFETIME_S)
        capacity = bucket_capacity(self.limits.latest, self.bounds, GRANT_LIFETIME_S)
        self.flood_from = AUTHORITY_S + min(6.0, capacity / rate) + source.uniform(0.0, 0.5)
        self._faults = FaultSchedule(self)
        self.release_at = self._faults.draw_release(self.flood_from)
        self.calm_from = self.release_at + self.bounds.window_s + 0.5
        self.settled_from = self.calm_from + 2 * GRANT_LIFETIME_S + AUTHORITY_S + 2 * MAX_LEARN_S + 10 * self.cost / rate
        self.end = self.settled_from + CALM_S
        self.has_fault = False  # whether the network is faulty
        self.answer_delay_s = 0.0

    def _machine(self, address: str) -> ControlPlaneMachine:
        authority_s = self.source.choice((0.3, 1.0)) * AUTHORITY_S
        return ControlPlaneMachine(address, self.views, self.bounds, self._takeover_s, authority_s)

    def run(self) -> None:
        """Run the history until its end or the first violation."""
        self.views.decide(tuple(self.machines), 0.0)
        for machine in self.machines.values():
            self.learn(machine.address)
        self._publish_view()
        self.queue.at(self.flood_from, self._client)
        self.queue.at(self.calm_from, self._end_fault)
        self._faults.schedule()
        for _ in self.queue.run_until(self.end):
            if self.history.violations:
                break
        self.history.highest_fraction = round(self.window_check.highest_fraction, 4)

    # Clients.

    def _client(self) -> None:
        """Send one request to a random data plane, and schedule the next."""
        now = self.queue.now
        is_calm = now >= self.calm_from
        load = CALM_LOAD if is_calm else 3.0
        self.queue.at(now + self.cost / (load * self.limits.latest.rate_per_s), self._client)
        request = PendingRequest(self.cost, now)
        if self._is_settled(request):
            self.history.asked_in_calm += 1
        self._on_request(self.source.choice(self.holders), request)

    def _is_settled(self, request: PendingRequest) -> bool:
        return request.arrived_at >= self.settled_from

    def _refuse(self, request: PendingRequest) -> None:
        self.history.refused += 1
        if self._is_settled(request):
            self.history.refused_in_calm += 1
            self._violate(f"refused at {self.queue.now:.3f} although the tenant requests less than its rate")

    def _violate(self, what: str) -> None:
        if what:
            self.history.violations.append(f"at {self.queue.now:.3f}: {what}")

    # Data planes.

    def _at_holder(self, holder: Holder, act, *arguments) -> None:
        """Run a step of a data plane, delayed while it is frozen and dropped if it restarts."""
        self._step(holder, holder.incarnation, act, arguments)

    def _step(self, holder: Holder, incarnation: int, act, arguments) -> None:
        if holder.incarnation != incarnation:
            return
        if self.queue.now < holder.frozen_until:
            self.queue.at(holder.frozen_until, self._step, holder, incarnation, act, arguments)
        else:
            act(holder, *arguments)

    def _later(self, delay_s: float, holder: Holder, act, *arguments) -> None:
        self.queue.at(self.queue.now + delay_s, self._step, holder, holder.incarnation, act, arguments)

    def _on_request(self, holder: Holder, request: PendingRequest) -> None:
        self._at_holder(holder, self._serve_or_ask, [request])

    def _serve_or_ask(self, holder: Holder, pending: list[PendingRequest]) -> None:
        missing = [request for request in pending if not self._try_start(holder, request)]
        if missing:
            self._ask(holder, missing)

    def _try_start(self, holder: Holder, request: PendingRequest) -> bool:
        permit = holder.try_spend(TENANT, request.tokens, self.queue.now)
        if permit is not None:
            self._start(holder, request, permit)
        return permit is not None

    def _start(self, holder: Holder, request: PendingRequest, permit: Permit) -> None:
        """Schedule the write of a request with a permit; sometimes its client disconnects first."""
        now = self.queue.now
        if self.has_fault and self.source.random() < 0.05:
            self._later(self.source.uniform(0.0, 0.3), holder, self._refund, permit)
            return
        latest = permit.expires_at - holder.clock_offset_s - WRITE_MARGIN_S
        is_early = now < self.release_at
        writes_at = min(self.release_at, latest) if is_early else now + self.source.uniform(0.0, 0.01)
        self._later(max(0.0, writes_at - now), holder, self._write, request, permit)

    def _refund(self, holder: Holder, permit: Permit) -> None:
        holder.balance.refund(permit, holder.clock(self.queue.now))

    def _write(self, holder: Holder, request: PendingRequest, permit: Permit) -> None:
        now = self.queue.now
        if not holder.balance.redeem(permit, holder.clock(now)):
            self._refund(holder, permit)
            self._ask_or_refuse(holder, [request])
            return
        if self.has_fault and self.source.random() < 0.05:  # the backend reports that it did not execute the request
            holder.balance.reinstate(permit)
            self._later(0.02, holder, self._write, request, permit)
            return
        flight_s = min(FLIGHT_S, max(0.0, self.release_at - now))
        self.queue.at(now + flight_s, self._arrive, permit.tokens)

    def _arrive(self, tokens: int) -> None:
        self.history.arrivals += 1
        self._violate(self.window_check.record_arrival(tokens, self.queue.now))

    # Queries and responses.

    def _ask_or_refuse(self, holder: Holder, pending: list[PendingRequest]) -> None:
        again = [request for request in pending if request.attempts < MAX_ATTEMPTS]
        for request in pending:
            if request.attempts >= MAX_ATTEMPTS:
                self._refuse(request)
        if again:
            self._ask(holder, again)

    def _ask(self, holder: Holder, pending: list[PendingRequest]) -> None:
        now = self.queue.now
        address = owner_address(TENANT, holder.chain)
        if self.has_fault and self.source.random() < 0.1:
            address = self.source.choice(sorted(self.machines))
        for request in pending:
            request.attempts += 1
        query = Query(address, pending, pending, now)
        need = holder.need(TENANT, pending, GRANT_LIFETIME_S, now)
        message = QuotaRequest(node=holder.name, configuration_version=self._version, needs=[need])
        for delay_s in self._deliveries():
            self.queue.at(now + delay_s, self._at_machine, address, message, holder, holder.incarnation, query)
        self._later(QUERY_TIMEOUT_S, holder, self._on_query_timeout, query)

    def _deliveries(self) -> list[float]:
        """Return the delay of each copy of a message: none if it is lost, two if it is duplicated."""
        draw = self.source.random() if self.has_fault else 1.0
        if draw < 0.05:
            return []
        if draw < 0.15:
            return [self.source.uniform(0.0, 1.5)]
        if draw < 0.2:
            return [0.002, self.source.uniform(0.0, 1.0)]
        return [self.source.uniform(0.0005, 0.005)]

    def _at_machine(self, address: str, message: QuotaRequest, holder: Holder, incarnation: int, query: Query) -> None:
        machine, now = self.machines[address], self.queue.now
        if machine.is_dead:
            return
        if now < machine.frozen_until:
            self.queue.at(machine.frozen_until, self._at_machine, address, message, holder, incarnation, query)
            return
        credited_before = self._credited(machine)
        grants = machine.answer(message, now)
        granted = sum(grant.ahead_tokens for grant in grants or ())
        granted += sum(sum(message.needs[0].request_tokens[: grant.granted_requests]) for grant in grants or ())
        self._violate(self.grant_check.record(granted, self._credited(machine) - credited_before, now))
        for delay_s in self._deliveries():
            arguments = (query, grants, machine.epoch, machine.chain)
            self.queue.at(now + self.answer_delay_s + delay_s, self._step, holder, incarnation, self._on_answer, arguments)

    def _credited(self, machine: ControlPlaneMachine) -> int:
        account = machine.owner.accounts.get(TENANT)
        return account.counters.credited_tokens if account else 0

    def _on_answer(
        self, holder: Holder, query: Query, grants: list[QuotaGrant] | None, epoch: int, chain: tuple[str, ...]
    ) -> None:
        now = self.queue.now
        holder.learn_view(epoch, chain)
        is_first, query.is_over = not query.is_over, True
        waiting, query.waiting = query.waiting, []
        if not is_first:
            return
        if not grants or grants[0].not_owner:
            self._ask_or_refuse(holder, waiting)
            return
        counts_from = now if self._defect is Defect.EXPIRY_FROM_ANSWER else query.sent_at
        holder.add_grant(TENANT, grants[0], query, counts_from, now)
        for place, request in enumerate(waiting):
            if self._try_start(holder, request):
                continue
            if place < grants[0].granted_requests:
                self._ask_or_refuse(holder, [request])
            else:
                self._refuse(request)

    def _on_query_timeout(self, holder: Holder, query: Query) -> None:
        if not query.is_over:
            query.is_over = self.source.random() < 0.5  # else a late response is still used, for other requests
            waiting, query.waiting = query.waiting, []
            self._ask_or_refuse(holder, waiting)

    # Views and configurations.

    def decide_view(self, chain: tuple[str, ...], missed_by: frozenset[str] = frozenset()) -> None:
        """Decide the next view; all connected control-plane nodes learn it, except those in `missed_by`."""
        voters, now = sorted(self.machines), self.queue.now
        minority = len(voters) - self._majority
        acceptors = frozenset(self.source.sample(voters, self._majority))
        others = [voter for voter in voters if not self.views.views or voter != self.owner()]
        unconfirmed = self.source.sample(others, self.source.randrange(minority + 1))
        unconfirmed_since = {voter: now - self.source.uniform(0.0, 3.0) for voter in unconfirmed}
        self.views.decide(chain, now, acceptors, unconfirmed_since)
        for address in self.machines:
            if address not in missed_by:
                self.queue.at(self.queue.now + self.source.uniform(0.0, MAX_LEARN_S), self.learn, address)
        self.queue.at(self.queue.now + MAX_LEARN_S, self._publish_view)

    def owner(self) -> str:
        """Return the address of the owner in the newest view."""
        return owner_address(TENANT, self.views.latest.chain)

    def change_limit(self, limit: QuotaLimit) -> None:
        """Put another limit into force; connected control-plane nodes learn it soon."""
        self.limits.change(limit, self.queue.now)
        self._version += 1
        for address in self.machines:
            self.queue.at(self.queue.now + self.source.uniform(0.0, MAX_LEARN_S), self._learn_limit, address)

    def learn(self, address: str) -> None:
        """Let a control-plane node learn the newest view and configuration if it is connected."""
        machine = self.machines[address]
        if not machine.is_cut:
            self._learn_view(machine, self.views.latest)

    def _learn_limit(self, address: str) -> None:
        machine = self.machines[address]
        if not machine.is_cut and machine.epoch:
            self._learn_view(machine, self.views.views[machine.epoch - 1])

    def _learn_view(self, machine: ControlPlaneMachine, view: DecidedView) -> None:
        former_owners = machine.learn(view, self._tenants(), self._version, self.queue.now)
        for address in former_owners:
            self._ask_voters(address, machine)
            for delay_s in self._deliveries():
                arguments = (address, machine, machine.epoch, self.queue.now)
                self.queue.at(self.queue.now + delay_s, self._on_handover_request, *arguments)

    # Takeovers from lost owners.

    def _ask_voters(self, former_owner: str, asker: ControlPlaneMachine) -> None:
        """Ask all voters except the former owner when they last confirmed its view to it."""
        voters = [address for address in self.machines if address != former_owner]
        needed = 1 if self._defect is Defect.TAKEOVER_BY_MINORITY else self._majority
        authority = FormerAuthority(asker.epoch, voters, needed, AUTHORITY_S)
        for voter in voters:
            for delay_s in self._deliveries():
                arguments = (voter, former_owner, asker, asker.epoch, authority)
                self.queue.at(self.queue.now + delay_s, self._on_age_request, *arguments)

    def _on_age_request(
        self, voter: str, former_owner: str, asker: ControlPlaneMachine, epoch: int, authority: FormerAuthority
    ) -> None:
        machine, now = self.machines[voter], self.queue.now
        if machine.is_dead or machine.is_cut or asker.is_cut:
            return
        if now < machine.frozen_until:
            self.queue.at(machine.frozen_until, self._on_age_request, voter, former_owner, asker, epoch, authority)
            return
        self._learn_view(machine, self.views.views[epoch - 1])
        age_s, known = now - machine.last_confirmed(self.machines[former_owner], now), machine.epoch
        for delay_s in self._deliveries():
            self.queue.at(now + delay_s, self._on_age, voter, asker, known, age_s, epoch, authority)

    def _on_age(
        self, voter: str, asker: ControlPlaneMachine, known: int, age_s: float, epoch: int, authority: FormerAuthority
    ) -> None:
        now = self.queue.now
        if asker.is_dead or asker.is_cut:
            return
        if now < asker.frozen_until:
            self.queue.at(asker.frozen_until, self._on_age, voter, asker, known, age_s, epoch, authority)
            return
        authority.record(voter, known, age_s, now)
        if authority.ended_at is not None:
            self.history.shortened += len(asker.owner.shorten_wait([TENANT], epoch, authority.ended_at, now))

    # Handovers between owners.

    def _on_handover_request(self, address: str, asker: ControlPlaneMachine, epoch: int, sent_at: float) -> None:
        """Let a former owner learn the view of the message and respond with its remaining levels."""
        machine, now = self.machines[address], self.queue.now
        if machine.is_dead or machine.is_cut or asker.is_cut:
            return
        if now < machine.frozen_until:
            self.queue.at(machine.frozen_until, self._on_handover_request, address, asker, epoch, sent_at)
            return
        if self._defect is not Defect.GRANT_AFTER_HANDOVER:
            self._learn_view(machine, self.views.views[epoch - 1])
        levels = machine.owner.hand_over([TENANT], epoch, now)
        for delay_s in self._deliveries():
            self.queue.at(now + delay_s, self._on_levels, address, asker, levels, epoch, sent_at)

    def _on_levels(
        self, address: str, asker: ControlPlaneMachine, levels: list[QuotaLevel], epoch: int, sent_at: float
    ) -> None:
        """Let a new owner use the response unless it is too late."""
        now = self.queue.now
        if asker.is_dead or asker.is_cut or self.machines[address].is_cut:
            return
        if now < asker.frozen_until:
            self.queue.at(asker.frozen_until, self._on_levels, address, asker, levels, epoch, sent_at)
        elif now < sent_at + HANDOVER_TIMEOUT_S:
            self.history.handovers += len(asker.owner.adopt_levels(levels, epoch, now))

    def restart_machine(self, address: str) -> None:
        """Replace the process of a control-plane node by a new one without state."""
        self.kill_machine(address)
        self.machines[address] = self._machine(address)
        self.machines[address].started_at = self.queue.now
        self.queue.at(self.queue.now + self.source.uniform(0.0, MAX_LEARN_S), self.learn, address)

    def kill_machine(self, address: str) -> None:
        """Kill the process of a control-plane node."""
        self.machines[address].is_dead = True
        self.machines[address].died_at = self.queue.now

    def _tenants(self) -> dict[str, Tenant]:
        return {TENANT: Tenant(TENANT, self.limits.latest, QuotaUnit.TOKENS)}

    def _publish_view(self) -> None:
        for holder in self.holders:
            holder.learn_view(self.views.latest.epoch, self.views.latest.chain)

    def _end_fault(self) -> None:
        """End all faults; a view with all live nodes is decided, and all learn it soon."""
        self.has_fault = False
        for machine in self.machines.values():
            machine.heal(self.queue.now)
        self.decide_view(tuple(address for address, machine in self.machines.items() if not machine.is_dead))


def play(seed: int, defect: Defect = Defect.NONE) -> History:
    """Play one history; the seed determines it."""
    return play_drawn(random.Random(seed), seed, defect)


def play_drawn(source: random.Random, seed: int = 0, defect: Defect = Defect.NONE) -> History:
    """Play the history that a random source determines."""
    history = History(seed)
    with injected(defect):
        QuotaWorld(source, history, defect).run()
    return history

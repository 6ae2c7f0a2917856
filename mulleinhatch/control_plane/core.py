"""One core machine: its voter, its replica in the chain, and the heartbeats that hold the core together.

The decisions are pure (`views`, `replication`, `peers`); this module carries them out: it sends, receives, writes and waits.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from result import Err

from mulleinhatch.control_plane.answers import Answers
from mulleinhatch.control_plane.disk import (
    REWRITE_AT,
    Disk,
    Restored,
    commit_record,
    entry_records,
    settled_record,
    stubs_record,
)
from mulleinhatch.control_plane.peers import ALIVE_S, Peers
from mulleinhatch.control_plane.registry import Registry
from mulleinhatch.messages.cluster import (
    AcceptRequest,
    AppendAnswer,
    AppendRequest,
    Ballot,
    ConfirmAnswer,
    ConfirmRequest,
    Heartbeat,
    HeartbeatAnswer,
    Member,
    PrepareRequest,
    SnapshotAnswer,
    SnapshotRequest,
    View,
    VoteAnswer,
)
from mulleinhatch.replication.chain import NEVER, Replica, Write
from mulleinhatch.replication.state import ControlState, EntryKind, Refusal, Verdict
from mulleinhatch.services.http_client import Caller, CallFailed
from mulleinhatch.services.settings import Settings
from mulleinhatch.services.supervisor import supervise
from mulleinhatch.storage.records import Record, RecordKind
from mulleinhatch.views.ballots import Outcome, Proposal, Voter, identities, majority
from mulleinhatch.views.planning import Health, next_view

LOG = logging.getLogger(__name__)
HEARTBEAT_S = 0.3
BEAT_GAP_S = 0.03  # between heartbeats that are sent for news
MOST_BEATS = 3  # on their way to one machine: one that is lost must not look like a machine that is
CALL_S = 0.7  # for a message between core machines
APPEND_S = 1.0
SNAPSHOT_S = 2.0
PLAN_S = 0.1
STOOD_STILL_S = 0.6  # a gap between two looks at the clock that is ours, not the others'
CHANGE_WAIT_S = 0.9  # how long an operator's change waits before it gets no clear answer
RETRY_S = 0.1
DISK_RETRY_S = 0.5
KEEP_STUBS_S = 1.0
COMMIT_WAIT_S = 0.6  # how long an append's answer waits for the rest of the chain
ENTRIES_BEFORE_SNAPSHOT = 128


@dataclass(frozen=True)
class ChangeAnswer:
    """What an operator is told: a status, a message, and where to go instead."""

    status: int
    message: str = ""
    location: str = ""


def first_view(settings: Settings, internal_of: Callable[[str], str]) -> View:
    """The view that all seeds of a first start agree on without a word."""
    members = [
        Member(identity=f"first-{seed}", name=seed, control_address=seed, internal_address=internal_of(seed))
        for seed in settings.seeds
    ]
    return View(epoch=1, voters=members, chain=members)


class Core:
    """`on_change` is called whenever the configuration, the view or this machine's role changed."""

    def __init__(
        self,
        settings: Settings,
        caller: Caller,
        clock: Callable[[], float],
        on_change: Callable[[], None],
        disk: Disk | None = None,
    ) -> None:
        self.settings, self.caller, self.clock, self.on_change = settings, caller, clock, on_change
        self.disk = disk or Disk(settings.data_directory, clock)
        self.state = ControlState()
        self.leaving = False
        self.orders_idle_s: Callable[[], float] = lambda: 1e5
        self.data_planes: Callable[[], int] = lambda: 0
        self.on_stub_change: Callable[[str], None] = lambda stub_id: None
        self.on_store_load: Callable[[], None] = lambda: None
        self.caught_up = False
        self._log_lock = asyncio.Lock()
        self._vote_lock = asyncio.Lock()
        self._change_lock = asyncio.Lock()
        self._progress = asyncio.Event()  # set and replaced whenever something moved
        self._looked_at = clock()
        self._ballot = 0
        self._tasks: set[asyncio.Task[Any]] = set()
        self._beating: Counter[str] = Counter()  # heartbeats on their way, by address
        self._beat_planned, self._beat_at = False, -1e9
        self._quiet_until = 0.0  # until then the others' silence is not believed
        self._started_at = clock()
        self._stubs_asked = False
        self._stub_changed_at: dict[str, float] = {}

    # Start.

    def internal_of(self, control_address: str) -> str:
        """The internal address beside a control address: all machines of a day use the same ports."""
        port = self.settings.internal_address.rpartition(":")[2]
        return f"{control_address.rpartition(':')[0]}:{port}"

    def open(self) -> None:
        """Reads the disk; blocks."""
        control = self.settings.listen["control"]
        founds = self.settings.first_start and control in self.settings.seeds
        restored = self.disk.open(f"first-{control}" if founds else "")
        self.member = Member(
            identity=restored.identity,
            name=self.settings.name,
            control_address=control,
            internal_address=self.settings.internal_address,
        )
        self.peers = Peers(self.member)
        self.registry = Registry(self.settings.heartbeat_s, self._stub_changed)
        self.registry.on_store_load = lambda: self.on_store_load()
        self.voter = Voter(restored.identity, restored.voter)
        if not restored.voter.view.epoch and restored.identity == f"first-{control}":
            self.voter.learn(first_view(self.settings, self.internal_of))
        self.replica = Replica(restored.identity)
        self._restore(restored)
        if restored.voter.view.epoch:
            self.replica.adopt(self.voter.view)
        elif self.voter.view.epoch:
            self.replica.adopt(self.voter.view)
            self.replica.found()
        self._learn_members(self.voter.view)
        for stub in restored.stubs:
            self.registry.recall(stub, self.clock())
        self._apply()

    def _restore(self, restored: Restored) -> None:
        if restored.snapshot.index:
            self.state.restore(restored.snapshot)
        self.replica.restore(restored.voter.view, restored.snapshot, restored.entries, restored.committed, restored.settled)

    async def run(self) -> None:
        while not await self._kept_first_vote():
            await asyncio.sleep(DISK_RETRY_S)
        loops = {
            "heartbeats": self._beat_forever,
            "views": self._plan_forever,
            "replication": self._replicate_forever,
            "catching up": self._catch_up_forever,
            "stubs on disk": self._keep_stubs_forever,
        }
        await asyncio.gather(*(supervise(name, loop) for name, loop in loops.items()))

    async def _kept_first_vote(self) -> bool:
        """Whether the view that we start from is on disk; one that refuses writes for now is no reason to end."""
        try:
            await self._keep_vote()
        except OSError:
            return False
        return True

    async def _keep_stubs_forever(self) -> None:
        """The list of stubs is told anew by the stubs; what is on disk bridges the time until then after a restart of all."""
        kept = -1
        while True:
            await asyncio.sleep(KEEP_STUBS_S)
            if self.registry.cursor == kept:
                continue
            kept = self.registry.cursor
            try:
                await self.disk.append([stubs_record(self.registry.present())])
            except OSError:
                kept = -1

    def spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None and not isinstance(task.exception(), OSError):
            LOG.error("a task failed", exc_info=task.exception())

    # What we are.

    @property
    def view(self) -> View:
        return self.replica.view

    def authoritative(self) -> bool:
        """Whether we are in the chain and hear from a majority of the voters: what we say then is the system's word."""
        return self.replica.position >= 0 and self.peers.reaches_majority(self.view, self.clock()) and not self._stood_still()

    def _stood_still(self) -> bool:
        return self.clock() - self._looked_at > STOOD_STILL_S

    @property
    def head(self) -> Member | None:
        return self.view.chain[0] if self.view.chain else None

    @property
    def tail(self) -> Member | None:
        return self.view.chain[-1] if self.view.chain else None

    def wake(self) -> None:
        """Something moved: all that wait look again."""
        progress, self._progress = self._progress, asyncio.Event()
        progress.set()

    async def _moved(self, within: float) -> None:
        try:
            async with asyncio.timeout(within):
                await self._progress.wait()
        except TimeoutError:
            pass

    async def _until(self, condition: Callable[[], bool], within: float) -> bool:
        end = self.clock() + within
        while not condition():
            left = end - self.clock()
            if left <= 0:
                return False
            await self._moved(left)
        return True

    # Messages.

    async def _ask(self, address: str, path: str, message: Any, answer: Any, within: float = CALL_S) -> Any:
        """Sends a message to a core machine; CallFailed where no proper answer comes."""
        whole = await self.caller.request(address, "POST", f"/internal/{path}", bytes(message), within)
        if whole.status != 200:
            raise CallFailed(address, f"status {whole.status}")
        return answer.parse(whole.body)

    async def learn(self, view: View) -> None:
        """A decided view that was told: durable before it takes force."""
        if view.epoch <= self.voter.view.epoch:
            return
        async with self._vote_lock:
            if not self.voter.learn(view):
                return
            await self._keep_vote()
        self._take_force()

    def _take_force(self) -> None:
        view = self.voter.view
        if view.epoch <= self.replica.view.epoch:
            return
        was_inside = self.replica.position >= 0
        self.replica.adopt(view)
        if was_inside and self.replica.position < 0:
            self.caught_up = False
        self._learn_members(view)
        LOG.info(
            "view in force",
            extra={
                "epoch": view.epoch,
                "chain": [member.name for member in view.chain],
                "voters": [member.name for member in view.voters],
            },
        )
        self._apply()
        self._changed()

    def _changed(self) -> None:
        self.wake()
        self.on_change()

    def _learn_members(self, view: View) -> None:
        for member in list(view.voters) + list(view.chain):
            self.peers.learn(member, self.clock())

    async def _keep_vote(self) -> None:
        """The vote, and whether the log is settled in the view that it may bring."""
        inside = self.member.identity in identities(self.voter.view.chain)
        settled = inside and self.replica.settled
        await self.disk.append([Record(RecordKind.VOTER, bytes(self.voter.state)), settled_record(settled)])

    # Votes.

    async def on_prepare(self, request: PrepareRequest) -> VoteAnswer:
        return await self._vote(lambda: self.voter.prepare(request))

    async def on_accept(self, request: AcceptRequest) -> VoteAnswer:
        return await self._vote(lambda: self.voter.accept(request))

    async def _vote(self, vote: Callable[[], VoteAnswer]) -> VoteAnswer:
        async with self._vote_lock:
            before = self.voter.state
            answer = vote()
            if self.voter.state is not before:
                await self._keep_vote()
        self._take_force()
        return answer

    async def on_confirm(self, request: ConfirmRequest) -> ConfirmAnswer:
        async with self._vote_lock:
            current = self.voter.undisturbed(request.epoch)
        return ConfirmAnswer(voter=self.member.identity, current=current, newest=self.voter.view)

    async def confirm(self) -> bool:
        """Whether a majority of the voters says, after this call began, that our view is the newest."""
        epoch, voters = self.view.epoch, self.view.voters
        own = await self.on_confirm(ConfirmRequest(epoch=epoch))
        count = int(own.current)
        asked = [
            self._ask(voter.internal_address, "confirm", ConfirmRequest(epoch=epoch), ConfirmAnswer())
            for voter in voters
            if voter.identity != self.member.identity
        ]
        answers = Answers(asked)
        while count < majority(self.view) and (answer := await answers.next()) is not None:
            await self.learn(answer.newest)
            count += int(answer.current and answer.voter in identities(voters))
        answers.leave()
        return epoch == self.view.epoch and count >= majority(self.view)

    # Views.

    async def _plan_forever(self) -> None:
        while True:
            await asyncio.sleep(PLAN_S)
            now = self.clock()
            if now - self._looked_at > STOOD_STILL_S:
                LOG.warning("stood still", extra={"seconds": round(now - self._looked_at, 2)})
                self._forgive(now)
            self._looked_at = now
            self.registry.expire(now)
            self.peers.forget(self.view, now)
            wanted = self._wanted_view(now)
            if wanted is not None:
                try:
                    await self._propose(wanted)
                except OSError:
                    pass
                await asyncio.sleep(random.uniform(0.0, PLAN_S))

    def _forgive(self, now: float) -> None:
        """After we stood still the others' silence is ours: they get time to answer anew."""
        self.registry.forgive(now)
        for peer in self.peers.by_identity.values():
            peer.known_since = max(peer.known_since, now)
        self._quiet_until = now + ALIVE_S

    def _wanted_view(self, now: float) -> View | None:
        view = self.view
        if not view.epoch or now < self._quiet_until or not self.peers.reaches_majority(view, now):
            return None
        own = Health(self.member, not self._unfit(), self._is_caught_up(), settled=self.replica.settled)
        health = self.peers.health(view, now, own)
        able = [member.identity for member in view.chain if health[member.identity].alive]
        leads = bool(able) and able[0] == self.member.identity
        hands_over = self.leaving and self.replica.is_head
        if not leads and not hands_over:
            return None
        if now - self._started_at < ALIVE_S + HEARTBEAT_S:
            return None  # who did not answer yet may be starting, as we are
        return next_view(view, health, self.settings.machines_tolerated)

    def _unfit(self) -> bool:
        """Whether the chain should do without us."""
        return self.leaving or self.disk.stalled()

    async def _propose(self, wanted: View) -> None:
        """One try to have a view chosen."""
        base = self.voter.view
        if wanted.epoch != base.epoch + 1:
            return
        self._ballot = max(self._ballot, self.voter.state.promised.number) + 1
        proposal = Proposal(base, Ballot(number=self._ballot, proposer=self.member.identity), wanted)
        prepare = PrepareRequest(base=base, ballot=proposal.ballot)
        await self._round(proposal, "prepare", prepare, self.on_prepare, proposal.prepared)
        if proposal.chosen is not None and proposal.outcome is Outcome.RUNNING:
            accept = AcceptRequest(base=base, ballot=proposal.ballot, proposed=proposal.chosen)
            await self._round(proposal, "accept", accept, self.on_accept, proposal.accepted)
        self._ballot = max(self._ballot, proposal.highest)
        if proposal.outcome is Outcome.DECIDED:
            await self.learn(proposal.chosen)
            self.beat_soon()
        elif proposal.outcome is Outcome.OVERTAKEN:
            await self.learn(proposal.newest)

    async def _round(
        self, proposal: Proposal, path: str, request: Any, own: Callable[[Any], Any], heard: Callable[[VoteAnswer], bool]
    ) -> None:
        """Asks all voters at once; returns when `heard` says that it is enough, or all have answered."""
        answers = Answers(
            [
                own(request)
                if voter.identity == self.member.identity
                else self._ask(voter.internal_address, path, request, VoteAnswer())
                for voter in proposal.base.voters
            ]
        )
        while (answer := await answers.next()) is not None:
            if heard(answer) or proposal.outcome is not Outcome.RUNNING:
                break
        answers.leave()

    # Heartbeats.

    async def _beat_forever(self) -> None:
        self._started_at = self.clock()
        while True:
            self.beat_soon()
            await asyncio.sleep(HEARTBEAT_S)

    def beat_soon(self) -> None:
        """Sends a heartbeat to every core machine now, or a little later where the last one was just sent."""
        if self._beat_planned:
            return
        now = self.clock()
        self._beat_planned = True
        loop = asyncio.get_running_loop()
        loop.call_later(max(0.0, self._beat_at + BEAT_GAP_S - now), self._beat_all)

    def _beat_all(self) -> None:
        self._beat_planned, self._beat_at = False, self.clock()
        seeds = [self.internal_of(seed) for seed in self.settings.seeds]
        for address in self.peers.addresses(self.view, seeds):
            if self._beating[address] < MOST_BEATS:
                self._beating[address] += 1
                self.spawn(self._beat(address))

    async def _beat(self, address: str) -> None:
        try:
            await self._beat_once(address)
        except CallFailed:
            self.caller.forget(address)
        finally:
            self._beating[address] -= 1

    async def _beat_once(self, address: str) -> None:
        peer = next((peer for peer in self.peers.by_identity.values() if peer.member.internal_address == address), None)
        owed = set(peer.owed_stubs) if peer is not None else set()
        begun = self.clock()
        message = Heartbeat(
            sender=self.member,
            epoch=self.view.epoch,
            caught_up_epoch=self.view.epoch if self._is_caught_up() else 0,
            last_index=self.replica.last,
            settled=self.replica.settled,
            committed=self.replica.committed,
            leaving=self._unfit(),
            stubs=self.registry.for_peer(owed, begun),
            data_planes=self.data_planes(),
            orders_idle_ms=int(1000 * self.orders_idle_s()),
        )
        answer = await self._ask(address, "heartbeat", message, HeartbeatAnswer())
        now = self.clock()
        heard = self.peers.answered(answer, now)
        if heard is None:
            return
        if answer.wants_all_stubs:
            heard.owed_stubs.update(self.registry.entries)
        elif heard is peer:
            heard.owed_stubs -= owed - self._changed_since(owed, begun)
        if answer.newest.epoch > self.view.epoch:
            await self.learn(answer.newest)
        for member in answer.known:
            self.peers.learn(member, now)

    def _changed_since(self, ids: set[str], begun: float) -> set[str]:
        """Stubs that changed while a heartbeat with them was on its way: they are owed again."""
        return {stub_id for stub_id in ids if self._stub_changed_at.get(stub_id, 0.0) >= begun}

    def _is_caught_up(self) -> bool:
        return self.caught_up or self.replica.position >= 0

    async def on_heartbeat(self, message: Heartbeat) -> HeartbeatAnswer:
        now = self.clock()
        known = message.sender.identity in self.peers.by_identity
        peer = self.peers.heard(message, now)
        for stub in message.stubs:
            self.registry.merge(stub, now)
        answer = HeartbeatAnswer(sender=self.member, epoch=self.view.epoch, wants_all_stubs=not self._stubs_asked and not known)
        self._stubs_asked = self._stubs_asked or known
        if message.epoch < self.view.epoch:
            answer.newest = self.voter.view
        if peer is not None and not known:
            answer.known = [other.member for other in self.peers.by_identity.values()]
            peer.owed_stubs.update(self.registry.entries)
        return answer

    def _stub_changed(self, stub_id: str) -> None:
        self._stub_changed_at[stub_id] = self.clock()
        for peer in self.peers.by_identity.values():
            peer.owed_stubs.add(stub_id)
        self.on_stub_change(stub_id)

    def stub_refreshed(self, stub_id: str) -> None:
        """A stub's heartbeat came here: the others hear of it with the next heartbeat."""
        self._stub_changed_at[stub_id] = self.clock()
        for peer in self.peers.by_identity.values():
            peer.owed_stubs.add(stub_id)

    async def tell_peers(self, stub_id: str, within: float) -> None:
        """Returns when all peers in reach hold what we know of a stub, or after `within` seconds."""
        self.beat_soon()
        now = self.clock()
        reached = [peer for peer in self.peers.by_identity.values() if self.peers.alive(peer.member.identity, now)]
        end = now + within
        while any(stub_id in peer.owed_stubs for peer in reached) and self.clock() < end:
            await asyncio.sleep(0.01)
            self.beat_soon()

    # The chain.

    async def _write(self, write: Write) -> None:
        """Makes a write last, and counts it. The log lock is held."""
        records = []
        if write.snapshot is not None:
            records.append(Record(RecordKind.SNAPSHOT, bytes(write.snapshot)))
        records += entry_records(write.entries)
        if records:
            records.append(commit_record(self.replica.committed))
            await self.disk.append(records)
        self.replica.written(write)
        if write.snapshot is not None:
            self.state.restore(write.snapshot)
        self._apply()

    def _apply(self) -> None:
        """Applies what is committed."""
        replica, before = self.replica, self.state.index
        while self.state.index < replica.committed:
            self.state.apply(replica.entry(self.state.index + 1))
        if self.state.index != before:
            self._changed()

    async def on_append(self, request: AppendRequest) -> AppendAnswer:
        if request.epoch > self.view.epoch:
            return self.replica.answer(False)
        async with self._log_lock:
            write = self.replica.receive(request)
            if write is None:
                return self.replica.answer(False)
            await self._write(write)
            if request.epoch != self.view.epoch:
                return self.replica.answer(False)
            await self._settle(request)
            self.replica.received(request)
            self._apply()
        self.wake()
        last = self.replica.last
        await self._until(lambda: self.replica.committed >= last or request.epoch != self.view.epoch, COMMIT_WAIT_S)
        return self.replica.answer(request.epoch == self.view.epoch)

    async def _settle(self, request: AppendRequest) -> None:
        """The append that brings all that our predecessor holds: that we are settled is on disk before it counts."""
        if not self.replica.settled and self.replica.last >= request.sender_last:
            await self.disk.append([settled_record(True)])

    async def _replicate_forever(self) -> None:
        """Keeps the successor supplied with what it lacks."""
        while True:
            successor, epoch = self.replica.successor, self.view.epoch
            if successor is None:
                await self._moved(1.0)
                continue
            try:
                await self._supply(successor, epoch)
            except OSError:
                self.caller.forget(successor.internal_address)
                await self._moved(RETRY_S)

    async def _supply(self, successor: Member, epoch: int) -> None:
        """Sends appends until the view changes; CallFailed where the successor is out of reach."""
        held, told, settled = self.replica.last, -1, False
        while epoch == self.view.epoch:
            known = 0 <= told >= self.replica.committed and held >= self.replica.last and settled is self.replica.settled
            if known and self.replica.committed >= self.replica.last:
                await self._moved(1.0)
                continue
            request = self.replica.append_for(held)
            answer = await self._ask(successor.internal_address, "append", request, AppendAnswer(), APPEND_S + COMMIT_WAIT_S)
            if answer.newest.epoch > self.view.epoch:
                await self.learn(answer.newest)
                return
            if epoch != self.view.epoch:
                return
            if not answer.accepted:
                held = min(answer.last_index, self.replica.last)
                await self._moved(RETRY_S / 4)
                continue
            held, told = min(answer.last_index, self.replica.last), request.committed
            settled = request.sender_last != NEVER
            if answer.committed > self.replica.committed:
                self.replica.commit_to(answer.committed)
                self._apply()
            elif self.replica.committed < self.replica.last:
                await self._moved(RETRY_S)  # the rest of the chain took longer than the answer waits: asked again
            await self._compact()

    async def _compact(self) -> None:
        """Takes a new snapshot, and writes the file anew, when they got long."""
        behind = self.state.index - self.replica.base.index
        if behind < ENTRIES_BEFORE_SNAPSHOT and self.disk.size < REWRITE_AT:
            return
        async with self._log_lock:
            kept = self.replica.compact(self.state.snapshot())
            records = [
                Record(RecordKind.IDENTITY, self.member.identity.encode()),
                Record(RecordKind.SNAPSHOT, bytes(self.replica.base)),
                *entry_records(kept),
                commit_record(self.replica.committed),
            ]
            async with self._vote_lock:
                records += [
                    Record(RecordKind.VOTER, bytes(self.voter.state)),
                    settled_record(self.replica.settled),
                    stubs_record(self.registry.present()),
                ]
                await self.disk.rewrite(records)

    async def _catch_up_forever(self) -> None:
        """Outside the chain: takes the chain's state, so that it may take us in."""
        while True:
            await asyncio.sleep(RETRY_S)
            if self.view.epoch and self.replica.position < 0 and not self.caught_up:
                for member in reversed(self.view.chain):
                    try:
                        if await self._catch_up(member):
                            break
                    except OSError:
                        continue
            elif self.replica.is_tail or self.replica.position >= 0:
                try:
                    await self._compact()
                except OSError:
                    pass

    async def _catch_up(self, member: Member) -> bool:
        epoch = self.view.epoch
        answer = await self._ask(
            member.internal_address, "snapshot", SnapshotRequest(epoch=epoch), SnapshotAnswer(), SNAPSHOT_S
        )
        await self.learn(answer.newest)
        if not answer.available or self.view.epoch != epoch or self.replica.position >= 0:
            return False
        async with self._log_lock:
            if self.replica.position >= 0 or self.view.epoch != epoch:
                return False
            await self._write(Write(snapshot=answer.snapshot, truncate_to=0))
            self.caught_up = self.replica.position < 0
        LOG.info("caught up", extra={"index": self.replica.last, "epoch": epoch})
        self.beat_soon()
        return True

    async def on_snapshot(self, request: SnapshotRequest) -> SnapshotAnswer:
        available = request.epoch == self.view.epoch and self.replica.position >= 0 and self.replica.settled
        answer = SnapshotAnswer(available=available, newest=self.voter.view)
        if available:
            answer.snapshot = self.state.snapshot()
        return answer

    # The operator's changes and reads.

    def _elsewhere(self, member: Member | None) -> ChangeAnswer:
        if member is None or member.identity == self.member.identity or not self.peers.alive(member.identity, self.clock()):
            return ChangeAnswer(503, "the core is regrouping; send it again in a moment")
        return ChangeAnswer(307, "another machine answers this", f"http://{member.control_address}/configuration")

    async def change(self, method: str, base: int | None, body: bytes) -> ChangeAnswer:
        """An operator's change: acknowledged once every replica of the chain has it on disk."""
        if not self.replica.is_head or not self.authoritative():
            return self._elsewhere(self.head)
        begun = self.clock()
        try:
            async with asyncio.timeout(CHANGE_WAIT_S):
                await self._change_lock.acquire()
        except TimeoutError:
            return ChangeAnswer(503, "another change is under way; send it again")
        try:
            return await self._change(method, base, body, begun)
        except OSError:
            return ChangeAnswer(503, "the disk refused the change; send it again")
        finally:
            self._change_lock.release()

    async def _change(self, method: str, base: int | None, body: bytes, begun: float) -> ChangeAnswer:
        epoch = self.view.epoch

        def left() -> float:
            return max(0.05, CHANGE_WAIT_S - (self.clock() - begun))

        settled = await self._until(lambda: self.replica.committed == self.replica.last, left())
        if not settled or not self.replica.is_head:
            return ChangeAnswer(503, "an earlier change is not settled yet; send it again")
        checked = self.state.check(method, base, body)
        if isinstance(checked, Err):
            return await self._refuse(checked.err_value)
        change = checked.ok_value
        async with self._log_lock:
            if not self.replica.is_head or epoch != self.view.epoch or self.replica.committed != self.replica.last:
                return ChangeAnswer(503, "the core is regrouping; send it again in a moment")
            write = self.replica.propose(int(change.kind), change.body, change.digest)
            await self._write(write)
        self.wake()
        if await self._until(lambda: change.digest in self.state.digests, left() + 0.5 * CHANGE_WAIT_S):
            LOG.info("configuration in force", extra={"version": self.state.document.version})
            return ChangeAnswer(200)
        return ChangeAnswer(503, "not settled yet; send it again unchanged")

    async def _refuse(self, refusal: Refusal) -> ChangeAnswer:
        if refusal.verdict is Verdict.TAKEN_BEFORE:
            return ChangeAnswer(200)
        if not await self.confirm():
            return ChangeAnswer(503, "the core is regrouping; send it again in a moment")
        return ChangeAnswer(int(refusal.verdict), refusal.message)

    async def claim_orders(self) -> int:
        """Makes this machine the holder of orders; its fencing token, 0 where that failed."""
        async with self._change_lock:
            if not self.replica.is_head or self.replica.committed != self.replica.last:
                return 0
            async with self._log_lock:
                if not self.replica.is_head:
                    return 0
                write = self.replica.propose(int(EntryKind.HOLDER), self.member.identity.encode(), "")
                await self._write(write)
            index = write.entries[0].index
            self.wake()
            await self._until(lambda: self.state.index >= index, 3.0)
            return index if self.state.fence_token == index else 0

    async def read(self) -> tuple[ChangeAnswer, bytes]:
        """The newest configuration, from the tail of the view in force."""
        if not self.replica.is_tail:
            return self._elsewhere(self.tail), b""
        if not self.replica.settled or not await self.confirm() or not self.replica.is_tail:
            return ChangeAnswer(503, "the core is regrouping; ask again in a moment"), b""
        return ChangeAnswer(200), self.state.document.text()

"""One instance's side of upkeep: as an asker, and as a voter where it is one. No I/O and no clock of its own.

Stands on `fleet/` for members and letters. `keep` writes what a voter promised before it is said; where it fails nothing is
said. Two clocks are told: `now` runs evenly (waiting, sending again), `wall` is Unix time (wishes); safety leans on neither.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from mulleinhatch.instance.gossip import messages as fleet_words
from mulleinhatch.instance.gossip.core import GossipNode
from mulleinhatch.instance.gossip.messages import GossipMessage
from mulleinhatch.instance.maintenance import messages as words
from mulleinhatch.instance.maintenance.messages import (
    Answered,
    Asked,
    InvalidMessageError,
    Please,
    Query,
    Reply,
    Tell,
    Thanks,
    Told,
)
from mulleinhatch.instance.maintenance.paxos_register import Kept, Round, Voter
from mulleinhatch.instance.maintenance.schedule import Request, carries, order
from mulleinhatch.instance.maintenance.table import PermitRefusedError, Table
from mulleinhatch.random_source import RandomSource

QUERY_EVERY, QUERY_FAR = 0.5, 2.0  # seconds between asks where we stand; with many before us
FAR = 10
AGAIN = 0.25  # seconds until a step is asked again of who has not answered
ROUND_LASTS = 3.0  # seconds after which a round is given up: a voter without a disk waits for as long, and more
ABSTAINS = 4.0  # seconds: that with the drift of clocks
BACK_OFF = (0.2, 1.0)  # seconds, drawn, until the next round after a beaten one
REPLY_LASTS = 3.0  # seconds that a voter's word on our place counts
REQUEST_LASTS = 6.0  # seconds that a request counts at a voter without being told again
MOST_REQUESTS = 1000
PLEASE_LASTS = 60.0  # seconds for which others are asked that do not answer
MARGIN = 0.1  # of the load that the rest must be able to carry besides


class State(Enum):
    SERVING = "serving"
    WAITING = "waiting"  # has a request, is not first yet
    ASKING = "asking"  # a round for a permit is under way
    GOING = "going"  # holds a permit and leaves service
    CHECKING = "checking"  # back, holds a permit still, not found fit yet
    RETURNING = "returning"  # a round to give it back is under way


class Bounds(NamedTuple):
    voters: tuple[str, ...]
    most: int = 1
    zone_most: int = 1
    zone: str = ""
    zones: tuple[tuple[str, str], ...] = ()  # of the others, by name, for those that are gone
    freeze_after: float = 0.0  # seconds in which one that came back is not fit: then nobody else goes; 0: never by itself


class Known(NamedTuple):
    request: Request
    at: float


class Upkeep:
    def __init__(
        self,
        bounds: Bounds,
        fleet: GossipNode,
        seed: int,
        now: float,
        kept: Kept | None = None,
        keep: Callable[[Kept], None] | None = None,
    ) -> None:
        """`kept`: what a voter's disk held, None where it held nothing; `keep` writes it, None where there is no disk."""
        self.bounds, self.fleet, self.name = bounds, fleet, fleet.name
        self._draw = RandomSource(seed).fraction
        self.first = Table(tuple(sorted(bounds.voters)), bounds.most, bounds.zone_most)
        self.known = self.first
        self.voter = Voter(self.name, kept or Kept(), abstains=kept is None) if self.name in bounds.voters else None
        self.keep = keep
        self.started = now
        self.told: dict[str, Told] = {}  # by voter, while we abstain
        self.writes: dict[str, int] = {}  # the most writes heard of, by voter
        self.remembered = 0  # and the most that others heard of from us
        self.requests: dict[str, Known] = {}  # as a voter
        self.request: Request | None = None
        self.state = State.SERVING
        self.fence = 0
        self.replies: dict[str, tuple[Reply, float]] = {}
        self.round: Round | None = None
        self.round_at = self.sent_at = self.asked_at = -1e9
        self.rounds, self.number, self.next_round = 0, 0, now
        self.please: dict[str, tuple[Request, float]] = {}  # whom a person wants asked, and until when
        self.pleased_at = now
        self.back_at, self.froze = math.inf, False  # since when we are back and not fit
        self.letters: list[tuple[str, bytes]] = []
        self.counts: Counter[str] = Counter()
        self.changes: list[tuple[str, str]] = []  # state and why, a line of the log each
        self.wall = 0.0
        self.now_heard = now
        fleet.subscribe(self._letter)

    def _become(self, state: State, why: str) -> None:
        if state is not self.state:
            self.state = state
            self.changes.append((state.value, why))

    # What people and the instance ask for.

    def ask(self, request: Request) -> None:
        self.request = request
        if self.state is State.SERVING:
            self._become(State.WAITING, request.kind)

    def ask_others(self, now: float, requests: list[Request]) -> None:
        """By name and zone of each; told again until it says that it heard."""
        for request in requests:
            if request.name == self.name:
                self.ask(request)
            else:
                self.please[request.name] = request, now + PLEASE_LASTS

    def cancel(self) -> None:
        """Before it goes; who is out comes back by itself."""
        if self.state in (State.WAITING, State.ASKING):
            self._tell_voters(Query(cancelled=True))
            self.request, self.round = None, None
            self._become(State.SERVING, "cancelled")

    def change(self, now: float, change: Callable[[Table], Table]) -> Round:
        """A person's: freeze, bounds, voters, release; its end is seen in the round."""
        if self.round:
            raise PermitRefusedError("a round is under way here: again in a moment")
        return self._begin(now, change)

    def told_by_voters(self, now: float) -> dict[str, Reply]:
        return {name: reply for name, (reply, at) in self.replies.items() if now - at <= REPLY_LASTS}

    # The beat.

    def beat(self, now: float, wall: float, fit: bool) -> list[tuple[str, bytes]]:
        """`fit`: its own checks pass and it is warm. Letters to be sent; `leave` is due when the state became GOING."""
        self.wall, self.now_heard = wall, now
        if self.voter and self.voter.abstains:
            self._learn(now)
        if self.round:
            self._go_on(now)
        elif self.state is State.CHECKING and fit and not (self.voter and self.voter.abstains) and now >= self.next_round:
            self._become(State.RETURNING, "fit")
            self._give_back(now)
        elif self.state is State.RETURNING and now >= self.next_round:
            self._give_back(now)
        elif self.state is State.WAITING and now >= self.next_round and self._is_turn(now):
            self._become(State.ASKING, "its turn")
            self._begin(now, self._go)
        elif (
            self.state is State.CHECKING
            and self.bounds.freeze_after
            and not self.froze
            and (now - self.back_at > self.bounds.freeze_after and now >= self.next_round)
        ):
            # What made us ill may make the next ones ill, too.
            self._begin(now, self._freeze)
        if self.please and now - self.pleased_at >= QUERY_EVERY:
            self._say_please(now)
        places = self._place(now)
        if now - self.asked_at >= (QUERY_FAR if places > FAR else QUERY_EVERY) and (
            self.request or self.state is not State.SERVING or now - self.started < 2.0 * ABSTAINS
        ):
            self.asked_at = now
            self._tell_voters(Query(self.request if self.state in (State.WAITING, State.ASKING) else None))
        for name in [name for name, known in self.requests.items() if now - known.at > REQUEST_LASTS]:
            del self.requests[name]
        letters, self.letters = self.letters, []
        return letters

    def _give_back(self, now: float) -> None:
        fence = self.fence
        self._begin(now, lambda table: table.back(self.name, fence))

    def _freeze(self, table: Table) -> Table:
        return table if table.frozen else table.freeze(f"{self.name} came back and is not fit")

    def _say_please(self, now: float) -> None:
        self.pleased_at = now
        for name, (request, until) in list(self.please.items()):
            if now > until:
                del self.please[name]
                self.changes.append(("asking", f"{name} does not answer"))
            else:
                self._to(name, Please(request))

    def said(self) -> list[tuple[str, bytes]]:
        letters, self.letters = self.letters, []
        return letters

    # As an asker.

    def _fresh(self, now: float) -> list[Reply]:
        return [reply for reply, at in self.replies.values() if now - at <= REPLY_LASTS]

    def _place(self, now: float) -> int:
        """By the voter that puts us furthest back."""
        return max((reply.place for reply in self._fresh(now)), default=-1)

    def _is_turn(self, now: float) -> bool:
        """By most of the voters; a wrong word costs a round, and never the bound. Who is out in their table, and not in truth,
        had its round beaten after others took it over: nobody else's turn comes for that permit, so it is ours to take."""
        if any(reply.fence for reply in self._fresh(now)):
            return True
        turns = [0 <= reply.place < reply.may_go for reply in self._fresh(now)]
        return 2 * sum(turns) > len(self.known.voters) and self._carried(now)

    def _carried(self, now: float) -> bool:
        """Whether the others can bear their load and ours, by the poor ends; ours is taken to be as theirs."""
        known = self.fleet.fleet_counters
        capacity, demand = known.total(now, "capacity"), known.total(now, "first_tries")
        ours = demand.most / demand.members if demand.members else 0.0
        return self.fleet.members.frozen is False and carries(capacity.least, demand.least + ours, 0.0, MARGIN)

    def _go(self, table: Table) -> Table:
        view = self.fleet.members.view
        zones = dict(self.bounds.zones)
        gone = {name: zones.get(name, "") for name, member in view.items() if member.state == fleet_words.GONE}
        request = self.request
        return table.go(self.name, self.bounds.zone, request.kind if request else "", gone)

    def _begin(self, now: float, change: Callable[[Table], Table]) -> Round:
        self.rounds += 1
        self.number += 1
        self.counts["rounds"] += 1
        self.round = Round(
            f"{self.name}.{self.fleet.members.process_epoch}.{self.rounds}"[-60:], self.number, self.known, change
        )
        self.round_at = now
        self._send_round(now)
        return self.round

    def _send_round(self, now: float) -> None:
        self.sent_at = now
        for voter, ask in self.round.asks():
            self._to(voter, Asked(ask, self.rounds))

    def _go_on(self, now: float) -> None:
        if now - self.round_at >= ROUND_LASTS:
            self.counts["rounds_given_up"] += 1
            self._over(now, "no majority answers")
        elif now - self.sent_at >= AGAIN:
            self._send_round(now)

    def _over(self, now: float, why: str) -> None:
        self.round, self.next_round = None, now + BACK_OFF[0] + (BACK_OFF[1] - BACK_OFF[0]) * self._draw()
        if self.state is State.ASKING:
            self._become(State.WAITING, why)

    def _answered(self, now: float, told: Answered) -> None:
        done = self.round
        self.writes[told.answer.voter] = max(told.answer.writes, self.writes.get(told.answer.voter, 0))
        if done is None or told.number != self.rounds:
            return
        step = done.table is None
        done.heard(told.answer)
        if not done.ended:
            if step and done.table is not None:
                self._send_round(now)
            return
        self.counts[f"rounds_{done.ended}"] += 1
        self.number = max(self.number, done.highest)
        if done.ended in ("moved", "refused"):
            self.known = done.known
        if done.ended != "agreed":
            self._over(now, done.why)
            return
        self.known, self.round = done.table, None
        permit = done.table.permit(self.name)
        if self.state is State.ASKING and permit:
            self.fence = permit.fence
            self._become(State.GOING, f"permit {permit.fence}")
        elif self.state is State.CHECKING:
            self.froze = bool(done.table.frozen)
        elif self.state is State.RETURNING and not permit:
            self.fence, self.request, self.back_at, self.froze = 0, None, math.inf, False
            self._become(State.SERVING, "permit given back")

    # Letters.

    def _to(self, name: str, word: words.Word) -> None:
        if name == self.name:
            self._word(self.now_heard, name, word)
            return
        try:
            self.letters += self.fleet.message_to(self.now_heard, name, extension=words.encode(word))
        except InvalidMessageError as error:
            self.counts[f"words_{error}".replace(" ", "_")] += 1

    def _tell_voters(self, word: words.Word) -> None:
        for voter in self.known.voters:
            self._to(voter, word)

    def _letter(self, now: float, letter: GossipMessage) -> None:
        if letter.extension:
            self.now_heard = now
            try:
                self._word(now, letter.sender, words.decode(letter.extension))
            except InvalidMessageError:
                self.counts["words_unfit"] += 1

    def _word(self, now: float, sender: str, word: words.Word) -> None:
        self.now_heard = now
        if isinstance(word, Reply):
            self._replied(now, sender, word)
        elif isinstance(word, Answered):
            self._answered(now, word)
        elif isinstance(word, Told):
            self.told[sender] = word
        elif isinstance(word, Please):
            if self.request is None or word.request.asked > self.request.asked:
                self.ask(word.request._replace(name=self.name, zone=self.bounds.zone))
            self._to(sender, Thanks(word.request.asked))
        elif isinstance(word, Thanks):
            if sender in self.please and self.please[sender][0].asked == word.asked:
                del self.please[sender]
        elif self.voter is None:
            self.counts["words_to_no_voter"] += 1
        elif isinstance(word, Query):
            self._queried(now, sender, word)
        elif isinstance(word, Tell):
            self._to(sender, Told(self.voter.kept, self.voter.abstains))
        elif isinstance(word, Asked):
            before = self.voter.kept
            answer = self.voter.asked(word.ask)
            if answer is None:
                self.counts["asks_abstained"] += 1
                return
            if self.voter.kept != before and not self._kept(before):
                return
            self._to(sender, Answered(answer, word.number))

    def _kept(self, before: Kept) -> bool:
        """Durable before it is said; a disk that fails takes the promise back, and nothing is said."""
        try:
            if self.keep:
                self.keep(self.voter.kept)
        except OSError as error:
            self.voter.kept = before
            self.counts["keeps_failed"] += 1
            self.changes.append(("voter", f"disk: {error}"))
            return False
        return True

    def _replied(self, now: float, sender: str, reply: Reply) -> None:
        self.replies[sender] = reply, now
        self.writes[sender] = max(reply.writes, self.writes.get(sender, 0))
        self.number, self.remembered = max(self.number, reply.number), max(self.remembered, reply.your_writes)
        if self.voter and not self.voter.abstains and reply.your_writes > self.voter.kept.writes:
            # Others heard of more than our disk remembers: it was set back, and what we promised since is lost.
            self.counts["disk_set_back"] += 1
            self.changes.append(("voter", f"our disk was set back: {self.voter.kept.writes} of {reply.your_writes} writes"))
            self.voter.abstains, self.started, self.told = True, now, {}
        if reply.fence and self.state is State.SERVING:
            self.fence = max(self.fence, reply.fence)
            self.back_at = now
            self._become(State.CHECKING, f"we hold permit {reply.fence}")
        elif reply.fence > self.fence and self.state in (State.CHECKING, State.RETURNING):
            self.fence = reply.fence

    # As a voter.

    def _queried(self, now: float, sender: str, query: Query) -> None:
        if query.cancelled:
            self.requests.pop(sender, None)
        elif query.request and (sender in self.requests or len(self.requests) < MOST_REQUESTS):
            self.requests[sender] = Known(query.request._replace(name=sender), now)
        else:
            self.requests.pop(sender, None)
        table = self.voter.kept.table or self.first
        zones = Counter(permit.zone for permit in table.out)
        places = order(
            [known.request for known in self.requests.values()], [permit.name for permit in table.out], dict(zones), self.wall
        )
        able = [place for place in places if place.may]
        at, why = next(((at, place.reasons) for at, place in enumerate(able) if place.request.name == sender), (-1, ()))
        if at < 0:
            why = next((place.reasons for place in places if place.request.name == sender), ())
        permit = table.permit(sender)
        room = 0 if table.frozen or self.voter.abstains else max(0, table.most - len(table.out))
        if room and at >= 0 and zones[able[at].request.zone] >= table.zone_most:
            room = 0
        self._to(
            sender,
            Reply(
                permit.fence if permit else 0,
                at,
                len(able),
                room,
                ", ".join(why)[:120],
                table.version if self.voter.kept.table else 0,
                self.writes.get(sender, 0),
                self.voter.kept.writes,
                table.frozen,
                self.voter.kept.promised.number,
            ),
        )

    def _learn(self, now: float) -> None:
        """After a loss: from a majority of the others, once no round of before can be under way. A fleet that starts for the
        first time has nothing to learn: all the others say so, and no table is agreed."""
        others = [voter for voter in self.first.voters if voter != self.name]
        if now - self.asked_at >= QUERY_EVERY:
            for voter in others:
                self._to(voter, Tell())
        if now - self.started < ABSTAINS:
            return
        keeps = [told.kept for told in self.told.values() if not told.empty]
        if all(voter in self.told and self.told[voter].kept.table is None for voter in others):
            promised = max([told.kept.promised for told in self.told.values()], default=self.voter.kept.promised)
            kept = self.voter.kept
            self.voter.kept = kept._replace(promised=max(promised, kept.promised), writes=max(kept.writes, self.remembered) + 1)
            self.voter.abstains = False
            self.changes.append(("voter", "begins: no voter keeps a table"))
        elif self.voter.learn(keeps, len(self.first.voters), self.remembered):
            self.changes.append(("voter", f"learned what {len(keeps)} others keep"))
        if not self.voter.abstains and not self._kept(Kept()):
            self.voter.abstains = True

"""One agreed table without a leader or a log: CASPaxos (Rystsov 2018), a register that changes by a function of its value.

A round has two steps. `prepare` asks the voters to promise not to listen to earlier ballots, and learns the latest table that
any of a majority accepted; the change is made on that; `accept` asks them to take the result. A table that a majority took is
agreed, whoever dies, and the next round of anybody learns it. What a voter promised or took is durable before it is said:
`Voter` gives what is to be written, and its answer goes out after. Words may be lost, repeated, late and out of order.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from mulleinhatch.instance.maintenance.table import PermitRefusedError, Table


class Ballot(NamedTuple):
    number: int
    name: str


NONE = Ballot(0, "")


class Kept(NamedTuple):
    """What must outlive a voter's restart. `writes` grows with each: a disk that was set back is known by it."""

    promised: Ballot = NONE
    accepted: Ballot = NONE
    table: Table | None = None
    writes: int = 0


class Ask(NamedTuple):
    ballot: Ballot
    table: Table | None = None  # to be taken; None: a promise is asked for
    first: Table | None = None  # the table that the operator's file names, for who has none yet


class Answer(NamedTuple):
    voter: str
    ballot: Ballot  # that it answers
    taken: bool  # of a prepare: promised; of an accept: accepted
    accept: bool
    promised: Ballot  # the highest it gave
    accepted: Ballot = NONE
    table: Table | None = None
    writes: int = 0


class Voter:
    """
    >>> voter = Voter("a", Kept()); first = Table(voters=("a",), most=1, zone_most=1)
    >>> voter.asked(Ask(Ballot(2, "x"), first=first)).taken, voter.asked(Ask(Ballot(1, "y"), first=first)).taken
    (True, False)
    >>> voter.asked(Ask(Ballot(2, "x"), table=first.go("n", "z", "w"))).taken, voter.kept.table.out[0].name, voter.kept.writes
    (True, 'n', 2)
    """

    def __init__(self, name: str, kept: Kept, abstains: bool = False) -> None:
        """`abstains`: it lost what it promised (no disk, or one that was set back), until `learn`."""
        self.name, self.kept, self.abstains = name, kept, abstains

    def _may(self, ballot: Ballot) -> bool:
        return ballot >= self.kept.promised

    def asked(self, ask: Ask) -> Answer | None:
        """The answer, to be said once `kept` is durable; None while it abstains."""
        if self.abstains:
            return None
        kept, accept = self.kept, ask.table is not None
        taken = self._may(ask.ballot)
        if taken and accept:
            self.kept = Kept(ask.ballot, ask.ballot, ask.table, kept.writes + 1)
        elif taken and ask.ballot > kept.promised:
            self.kept = kept._replace(promised=ask.ballot, writes=kept.writes + 1)
        return Answer(self.name, ask.ballot, taken, accept, self.kept.promised, kept.accepted, kept.table, self.kept.writes)

    def learn(self, told: list[Kept], voters: int, writes: int = 0) -> bool:
        """What others keep, when it abstains: enough are a majority without it. Safe once no round is under way that it may
        have promised something to: the caller waits for as long as a round may last, and the drift of clocks. `writes` are the
        most that others remember of it."""
        if 2 * len(told) <= voters:
            return False
        promised = max(kept.promised for kept in told)
        best = max(told, key=lambda kept: kept.accepted)
        self.kept = Kept(max(promised, self.kept.promised), best.accepted, best.table, max(writes, self.kept.writes) + 1)
        self.abstains = False
        return True


class Round:
    """One proposer's try. `asks` are due to the voters when it begins and whenever it says so; `ended` is the outcome.

    >>> first = Table(voters=("a", "b", "c"), most=1, zone_most=1)
    >>> voters = {name: Voter(name, Kept()) for name in first.voters}
    >>> one = Round("n", 1, first, lambda table: table.go("n", "z", "kernel"))
    >>> while not one.ended:
    ...     for name, ask in one.asks():
    ...         one.heard(voters[name].asked(ask))
    >>> one.ended, one.table.permit("n").fence
    ('agreed', 1)
    """

    def __init__(self, name: str, number: int, known: Table, change: Callable[[Table], Table]) -> None:
        """`name` is new with each life, or two tables could go under one ballot. `known`: the latest table
        heard of, which names the voters; `number` above all that were seen."""
        self.ballot, self.known, self.change = Ballot(number, name), known, change
        self.table: Table | None = None  # what is proposed, and in the end agreed
        self.answers: dict[str, Answer] = {}
        self.ended = ""  # agreed, refused, beaten (try again with a higher number), moved (other voters)
        self.why = ""
        self.highest = number  # of the ballots seen

    def asks(self) -> list[tuple[str, Ask]]:
        """To the voters that have not answered this step."""
        ask = Ask(self.ballot, self.table, None if self.table else self.known)
        return [] if self.ended else [(voter, ask) for voter in self.known.voters if voter not in self.answers]

    def _is_majority(self, count: int) -> bool:
        return 2 * count > len(self.known.voters)

    def _is_ours(self, answer: Answer) -> bool:
        """To the step we are in: a late word of the one before must not count."""
        return answer.ballot == self.ballot and answer.accept is (self.table is not None) and answer.voter in self.known.voters

    def heard(self, answer: Answer | None) -> None:
        if answer is None or self.ended or not self._is_ours(answer):
            return
        self.highest = max(self.highest, answer.promised.number)
        self.answers[answer.voter] = answer
        taken = [one for one in self.answers.values() if one.taken]
        if not self._is_majority(len(taken)):
            if self._is_majority(len(self.answers) - len(taken)):
                self.ended, self.why = "beaten", f"ballot {self.highest} was asked for"
            return
        if self.table is not None:
            self.ended = "agreed"
            return
        latest = max(taken, key=lambda one: one.accepted)
        table = latest.table or self.known
        if table.epoch > self.known.epoch:
            self.known, self.ended, self.why = table, "moved", f"epoch {table.epoch} has other voters"
            return
        try:
            self.table, self.answers = self.change(table), {}
        except PermitRefusedError as error:
            self.known, self.ended, self.why = table, "refused", str(error)

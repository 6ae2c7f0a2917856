"""The troubles that a backend makes with its answers, drawn from a seed. Pure."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum


class Repetition(Enum):
    """When a second copy of an answer is sent."""

    NEVER = "never"
    AT_ONCE = "at once"  # In one piece with the answer.
    WHILE_IDLE = "while idle"  # A little later, while the connection may carry no request.
    NEXT = "next"  # In the place where the next answer on the connection is due.


class Ending(Enum):
    """How an answer ends."""

    WHOLE = "whole"
    NONE_CLOSE = "no answer, close"
    NONE_RESET = "no answer, reset"
    CUT_CLOSE = "cut, close"
    CUT_RESET = "cut, reset"
    GARBAGE = "garbage"
    MUTE = "no answer until the peer closes"
    CONTRADICTORY = "500 with Not-Executed"


@dataclass(frozen=True)
class TroubleRates:
    """How often a backend makes each trouble, from 0 to 1.

    Attributes:
        rejection: Rejections of requests that could have been executed.
        repetition: Answers of which a second copy follows.
        broken: Answers that are broken off, missing or no answer.
        early: Long requests that are rejected before they were read.
        closing: Answers with `Connection: close`.
        unframed: Answers without a length, which end with their connection.
        refused: New connections that are reset at once.
        unframed_stream: Streams without a length, which end with their connection.
        killed: Such streams in the middle of which the backend is killed.
    """

    rejection: float
    repetition: float
    broken: float
    early: float
    closing: float
    unframed: float = 0.0
    refused: float = 0.0
    unframed_stream: float = 0.0
    killed: float = 0.0


def draw_rates(source: random.Random) -> TroubleRates:
    """Draw how troubled one backend is; about a fifth of them are healthy."""
    if source.random() < 0.2:
        return TroubleRates(0.0, 0.0, 0.0, 0.0, 0.02)
    return TroubleRates(
        rejection=source.uniform(0.02, 0.5),
        repetition=source.uniform(0.05, 0.9),
        broken=source.choice((0.0, 0.02, 0.08)),
        early=source.choice((0.0, 0.3)),
        closing=source.choice((0.0, 0.05, 0.3)),
        unframed=source.choice((0.0, 0.05)),
        refused=source.choice((0.0, 0.0, 0.1)),
        unframed_stream=source.choice((0.0, 0.2, 0.6)),
        killed=source.choice((0.0, 0.05)),
    )


class Troubles:
    """Draws the troubles of one backend and counts them.

    Args:
        rates: How often it makes each trouble.
        source: Source of the draws.
        counts: Number of troubles by kind, shared by all backends.
    """

    def __init__(self, rates: TroubleRates, source: random.Random, counts: dict[str, int]) -> None:
        self._rates, self._random, self._counts = rates, source, counts

    def _draws(self, name: str, rate: float) -> bool:
        drawn = self._random.random() < rate
        if drawn:
            self.count(name)
        return drawn

    def count(self, name: str) -> None:
        """Count a trouble."""
        self._counts[name] = self._counts.get(name, 0) + 1

    def rejects(self) -> bool:
        """Return whether a request is rejected that could be executed."""
        return self._draws("rejection", self._rates.rejection)

    def rejects_early(self) -> bool:
        """Return whether a long request is rejected before it was read."""
        return self._draws("early rejection", self._rates.early)

    def closes(self) -> bool:
        """Return whether an answer announces the end of its connection."""
        return self._draws("close", self._rates.closing)

    def is_unframed(self) -> bool:
        """Return whether an answer has no length and ends with its connection."""
        return self._draws("unframed", self._rates.unframed)

    def is_stream_unframed(self) -> bool:
        """Return whether a stream has no length and ends with its connection."""
        return self._draws("unframed stream", self._rates.unframed_stream)

    def should_be_killed(self) -> bool:
        """Return whether the backend is to be killed in the middle of a stream."""
        return self._random.random() < self._rates.killed

    def refuses_connection(self) -> bool:
        """Return whether a new connection is reset at once."""
        return self._draws("connection reset", self._rates.refused)

    def rejection_status(self) -> int:
        """Return the status of a rejection."""
        return self._random.choice((503, 503, 503, 429))

    def repetition(self) -> Repetition:
        """Return when a second copy of an answer is sent."""
        if not self._random.random() < self._rates.repetition:
            return Repetition.NEVER
        drawn = self._random.choice((Repetition.AT_ONCE, Repetition.WHILE_IDLE, Repetition.NEXT, Repetition.NEXT))
        self.count(f"repetition {drawn.value}")
        return drawn

    def ending(self) -> Ending:
        """Return how an answer ends."""
        if not self._random.random() < self._rates.broken:
            return Ending.WHOLE
        drawn = self._random.choice([ending for ending in Ending if ending is not Ending.WHOLE])
        self.count(f"ending {drawn.value}")
        return drawn

    def pause_s(self, longest_s: float) -> float:
        """Return a pause of at most `longest_s` seconds, short ones more often."""
        return longest_s * self._random.random() ** 3

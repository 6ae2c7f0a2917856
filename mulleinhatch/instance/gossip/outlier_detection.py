"""Outlier detection by votes on members, interpreters or downstream services that most observers find failing.

A subject is any name. An observer's weight depends on the amount and age of its evidence and never exceeds one vote, however
often it reports. A single observer cannot eject a subject, only a fraction of the subjects is ejected at a time, and none if
most look unhealthy, since the cause is then shared. An isolated observer changes nothing. If a single observer disagrees with
all others, the fault is assumed to be its own.
"""

from __future__ import annotations

from typing import NamedTuple

FULL_VOTE_EVIDENCE = 20  # amount of evidence that counts as a full vote
MAX_AGE_S = 6.0  # age at which an opinion has no weight
MIN_VOTES = 2.0
EJECT_AT, RETURN_BELOW = 0.6, 0.3  # bad fraction of the votes from which a subject is ejected, and below which it returns
MAX_EJECTED_FRACTION = 0.2  # of the subjects at a time, but at least one subject
MAX_UNHEALTHY_FRACTION = 0.5  # if more subjects are unhealthy, none is ejected
SINGLE_ACCUSATION = 0.8  # bad fraction of an observer's evidence that makes it a single accuser


class Opinion(NamedTuple):
    """An observer's last report on a subject."""

    bad: float  # bad fraction of the evidence
    evidence: int
    at: float


class OutlierDetector:
    """Opinions by subject and observer, and the subjects that are ejected.

    Args:
        max_subjects: maximum number of subjects; further ones are ignored.

    >>> detector = OutlierDetector()
    >>> for observer in ("a", "b", "c"):
    ...     for subject in ("x", "y", "z"):
    ...         detector.record(1.0, observer, subject, 0.9 if subject == "x" else 0.0, 40)
    >>> detector.judge(1.0, {"a", "b", "c"}, is_isolated=False)
    ['x']
    >>> detector.record(2.0, "a", "y", 1.0, 40); detector.judge(2.0, {"a", "b", "c"}, False), detector.single_accusers
    (['x'], {('a', 'y')})
    >>> detector.judge(30.0, {"a", "b", "c"}, is_isolated=False)
    []
    """

    def __init__(self, max_subjects: int = 4096) -> None:
        self.max_subjects = max_subjects
        self.opinions: dict[str, dict[str, Opinion]] = {}
        self.ejected_since: dict[str, float] = {}
        self.single_accusers: set[tuple[str, str]] = set()  # observers with the subject that only they find unhealthy
        self.blocked_ejections = 0  # ejections that a limit prevented in the last call of `judge`

    def record(self, now: float, observer: str, subject: str, bad: float, evidence: int, age_s: float = 0.0) -> None:
        """Record an opinion; one that is older than the known one changes nothing."""
        if subject not in self.opinions and len(self.opinions) >= self.max_subjects:
            return
        by_observer = self.opinions.setdefault(subject, {})
        if observer not in by_observer or by_observer[observer].at <= now - age_s:
            by_observer[observer] = Opinion(bad, evidence, now - age_s)

    def vote(self, now: float, subject: str, observers: set[str]) -> tuple[float, float]:
        """Return the bad fraction of the votes on a subject, and the total weight of the votes."""
        bad = total = 0.0
        for observer, opinion in self.opinions.get(subject, {}).items():
            if observer in observers and observer != subject:
                weight = min(1.0, opinion.evidence / FULL_VOTE_EVIDENCE) * max(0.0, 1.0 - (now - opinion.at) / MAX_AGE_S)
                bad, total = bad + weight * opinion.bad, total + weight
        return (bad / total if total else 0.0), total

    def judge(self, now: float, observers: set[str], is_isolated: bool) -> list[str]:
        """Return the subjects that are ejected now.

        Args:
            now: seconds of the caller's clock.
            observers: members whose opinions count.
            is_isolated: whether this member is cut off from most others, in which case nothing changes.
        """
        self._drop_old(now)
        if is_isolated:
            return sorted(self.ejected_since)
        votes = {subject: self.vote(now, subject, observers) for subject in self.opinions}
        self.ejected_since = {
            subject: since for subject, since in self.ejected_since.items() if self._stays_ejected(votes.get(subject))
        }
        unhealthy = sorted(
            (subject for subject, (bad, total) in votes.items() if bad >= EJECT_AT and total >= MIN_VOTES),
            key=lambda subject: (-votes[subject][0], subject),
        )
        self._eject(now, unhealthy, len(votes))
        self.single_accusers = self._find_single_accusers()
        return sorted(self.ejected_since)

    def _drop_old(self, now: float) -> None:
        for subject, by_observer in list(self.opinions.items()):
            for observer in [observer for observer, opinion in by_observer.items() if now - opinion.at > MAX_AGE_S]:
                del by_observer[observer]
            if not by_observer:
                del self.opinions[subject]

    @staticmethod
    def _stays_ejected(vote: tuple[float, float] | None) -> bool:
        if vote is None:
            return False
        bad, total = vote
        return total > 0.0 and bad >= RETURN_BELOW

    def _eject(self, now: float, unhealthy: list[str], subjects: int) -> None:
        """Eject as many subjects as the limits allow, the worst first."""
        self.blocked_ejections = 0
        if len(unhealthy) > MAX_UNHEALTHY_FRACTION * subjects:
            self.blocked_ejections = len(unhealthy)
            self.ejected_since.clear()
            return
        max_ejected = max(1, int(MAX_EJECTED_FRACTION * subjects))
        for subject in unhealthy:
            if subject in self.ejected_since:
                continue
            if len(self.ejected_since) < max_ejected:
                self.ejected_since[subject] = now
            else:
                self.blocked_ejections += 1

    def _find_single_accusers(self) -> set[tuple[str, str]]:
        return {
            (observer, subject)
            for subject, by_observer in self.opinions.items()
            for observer, opinion in by_observer.items()
            if opinion.bad >= SINGLE_ACCUSATION
            and len(by_observer) > 2
            and all(other.bad < RETURN_BELOW for name, other in by_observer.items() if name != observer)
        }

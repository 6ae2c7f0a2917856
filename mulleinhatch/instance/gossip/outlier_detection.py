"""What instances think of each other, of their interpreters and of services below: one voice each, and bounds on the verdict.

A subject is any name. A voice weighs by its evidence and its age, and has no more than one vote however often it speaks.
Nobody is judged out on one voice, no more than a share at a time, nobody where most look ill (then it is something that
all share), and who hears nothing judges nothing. What one voice alone finds bad is that voice's own trouble.
"""

from __future__ import annotations

from typing import NamedTuple

ENOUGH = 20  # pieces of evidence that make a whole voice
OLD = 6.0  # seconds after which a voice counts for nothing
VOICES = 2.0  # whole voices at least
OUT, BACK = 0.6, 0.3  # of the weight that finds it ill: from here it is out, below there it is back
MOST_OUT = 0.2  # of a kind's subjects at a time, one at least
MOST_ILL = 0.5  # ill ones of a kind beyond which nobody is out
ALONE = 0.8  # of one voice's evidence that is bad where all the others find the subject well


class Opinion(NamedTuple):
    bad: float  # share of its evidence
    evidence: int
    at: float


class Verdicts:
    """
    >>> verdicts = Verdicts()
    >>> for voice in ("a", "b", "c"):
    ...     for subject in ("x", "y", "z"):
    ...         verdicts.heard(1.0, voice, subject, 0.9 if subject == "x" else 0.0, 40)
    >>> verdicts.judge(1.0, {"a", "b", "c"}, cut_off=False)
    ['x']
    >>> verdicts.heard(2.0, "a", "y", 1.0, 40); verdicts.judge(2.0, {"a", "b", "c"}, False), verdicts.alone
    (['x'], {('a', 'y')})
    >>> verdicts.judge(30.0, {"a", "b", "c"}, cut_off=False)
    []
    """

    def __init__(self, most: int = 4096) -> None:
        self.most = most
        self.opinions: dict[str, dict[str, Opinion]] = {}
        self.out: dict[str, float] = {}  # since when
        self.alone: set[tuple[str, str]] = set()  # voices that find ill what others find well
        self.held_back = 0  # verdicts that a bound forbade, at the last look

    def heard(self, now: float, voice: str, subject: str, bad: float, evidence: int, age: float = 0.0) -> None:
        if subject not in self.opinions and len(self.opinions) >= self.most:
            return
        voices = self.opinions.setdefault(subject, {})
        if voice not in voices or voices[voice].at <= now - age:
            voices[voice] = Opinion(bad, evidence, now - age)

    def share(self, now: float, subject: str, voices: set[str]) -> tuple[float, float]:
        """The part of the weight that finds it ill, and the weight in whole voices."""
        ill = whole = 0.0
        for voice, opinion in self.opinions.get(subject, {}).items():
            if voice in voices and voice != subject:
                weight = min(1.0, opinion.evidence / ENOUGH) * max(0.0, 1.0 - (now - opinion.at) / OLD)
                ill, whole = ill + weight * opinion.bad, whole + weight
        return (ill / whole if whole else 0.0), whole

    def judge(self, now: float, voices: set[str], cut_off: bool) -> list[str]:
        """Subjects that are out now; `voices` are those whose word counts: the members that are there."""
        for subject, said in list(self.opinions.items()):
            for voice in [voice for voice, opinion in said.items() if now - opinion.at > OLD]:
                del said[voice]
            if not said:
                del self.opinions[subject]
        if cut_off:
            return sorted(self.out)
        shares = {subject: self.share(now, subject, voices) for subject in self.opinions}
        self.out = {
            subject: since
            for subject, since in self.out.items()
            if subject in shares and shares[subject][1] > 0.0 and shares[subject][0] >= BACK
        }
        ill = sorted(
            (subject for subject, (share, whole) in shares.items() if share >= OUT and whole >= VOICES),
            key=lambda subject: (-shares[subject][0], subject),
        )
        self.held_back = 0
        if len(ill) > MOST_ILL * len(shares):
            self.held_back = len(ill)
            self.out.clear()
        else:
            room = max(1, int(MOST_OUT * len(shares)))
            for subject in ill:
                if subject not in self.out and len(self.out) < room:
                    self.out[subject] = now
                elif subject not in self.out:
                    self.held_back += 1
        self.alone = {
            (voice, subject)
            for subject, said in self.opinions.items()
            for voice, opinion in said.items()
            if opinion.bad >= ALONE and len(said) > 2 and all(other.bad < BACK for name, other in said.items() if name != voice)
        }
        return sorted(self.out)

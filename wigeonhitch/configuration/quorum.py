"""Quorum of peers that lets a daemon serve while the store does not answer.

Made for store outages of minutes, during which daemons may be paused, replaced
or cut off. A daemon that a partition separates from the store must not take
this for an outage and go on under a version that others have replaced.

- An answer counts as of the time of its question. It may have been buffered
  while this process was paused and be out of date.
- Only the answer of a ready peer counts. A peer that has just started knows no
  version, and one that is cut off may be behind.
- A majority of this daemon and the peers that it asked is needed, so that at
  most one side of a partition goes on.
"""

from typing import NamedTuple

__all__ = ["PeerQuorum"]


class Question(NamedTuple):
    """A question to a peer; ``answered`` is set by the answer of a ready peer."""

    peer: str
    asked: float
    answered: bool


class PeerQuorum:
    """Recent questions to peers and their answers.

    Parameters
    ----------
    max_age : float
        Seconds for which a question counts.
    timeout : float
        Seconds after which an unanswered question counts against the quorum.
    """

    def __init__(self, max_age: float, timeout: float) -> None:
        self.max_age = max_age
        self.timeout = timeout
        self._number = 0
        self._questions: dict[int, Question] = {}

    def add_question(self, peer: str, now: float) -> int:
        """Record a question to a peer and return its number."""
        oldest = now - self.max_age
        expired = [
            number
            for number, question in self._questions.items()
            if question.asked < oldest
        ]
        for number in expired:
            del self._questions[number]
        self._number += 1
        self._questions[self._number] = Question(peer, now, False)
        return self._number

    def record_answer(self, number: int, peer: str, ready: bool) -> bool:
        """Record an answer; return False if its question is unknown or expired."""
        question = self._questions.get(number)
        if question is None or question.peer != peer:
            return False
        self._questions[number] = question._replace(answered=ready)
        return True

    def has_quorum(self, now: float) -> bool:
        """Return whether a majority is ready, counting this daemon and those asked.

        A daemon without any answer never has a quorum: without the store it
        cannot tell whether it is the only one or cut off.
        """
        asked = set()
        answered = set()
        for question in self._questions.values():
            age = now - question.asked
            if age > self.max_age:
                continue
            if question.answered:
                answered.add(question.peer)
            if question.answered or age >= self.timeout:
                asked.add(question.peer)
        return bool(answered) and 2 * (len(answered) + 1) > len(asked) + 1

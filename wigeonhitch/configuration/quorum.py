"""Whether this daemon hears most of its peers while the store is silent.

Load: a store outage of minutes, with daemons that are paused, replaced or cut
off meanwhile. Harm prevented: a daemon on the wrong side of a partition that
takes the silence of the store for an outage and goes on under a version that
others have replaced.

- An answer counts as of the time of its question. It may have lain in a
  buffer while this process was paused, and would pass old news for fresh.
- Only a peer that is itself ready counts. One that has just started knows
  nothing, and one that is cut off may be behind.
- A majority of this daemon and the peers it asked is needed, so that of two
  parts that do not hear each other at most one goes on.
"""

from typing import NamedTuple

__all__ = ["PeerQuorum"]


class Question(NamedTuple):
    """A question to a peer; ``answered`` once a ready peer has answered."""

    peer: str
    asked: float
    answered: bool


class PeerQuorum:
    """Questions of the last seconds and their answers.

    Parameters
    ----------
    span : float
        Seconds for which a question counts.
    patience : float
        Seconds after which an unanswered question counts against the peer.
    """

    def __init__(self, max_age: float, timeout: float) -> None:
        self.max_age = max_age
        self.timeout = timeout
        self._number = 0
        self._questions: dict[int, Question] = {}

    def add_question(self, peer: str, now: float) -> int:
        """Note a question to a peer; return its number."""
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
        """Note an answer; return False when nothing was asked or it lapsed."""
        question = self._questions.get(number)
        if question is None or question.peer != peer:
            return False
        self._questions[number] = question._replace(answered=ready)
        return True

    def has_quorum(self, now: float) -> bool:
        """Return whether a majority of those asked is ready, this one included.

        A daemon that is alone never hears most: without a store it cannot know
        whether it is alone or cut off.
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

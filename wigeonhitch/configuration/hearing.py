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

__all__ = ["Hearing"]


class Question(NamedTuple):
    """A question to a peer; ``answered`` once a ready peer has answered."""

    peer: str
    asked: float
    answered: bool


class Hearing:
    """Questions of the last seconds and their answers.

    Parameters
    ----------
    span : float
        Seconds for which a question counts.
    patience : float
        Seconds after which an unanswered question counts against the peer.
    """

    def __init__(self, span: float, patience: float) -> None:
        self.span = span
        self.patience = patience
        self._number = 0
        self._questions: dict[int, Question] = {}

    def ask(self, peer: str, now: float) -> int:
        """Note a question to a peer; return its number."""
        horizon = now - self.span
        old = [n for n, one in self._questions.items() if one.asked < horizon]
        for number in old:
            del self._questions[number]
        self._number += 1
        self._questions[self._number] = Question(peer, now, False)
        return self._number

    def note_answer(self, number: int, peer: str, ready: bool) -> bool:
        """Note an answer; return False when nothing was asked or it lapsed."""
        question = self._questions.get(number)
        if question is None or question.peer != peer:
            return False
        self._questions[number] = question._replace(answered=ready)
        return True

    def hears_most(self, now: float) -> bool:
        """Return whether a majority of those asked is ready, this one included.

        A daemon that is alone never hears most: without a store it cannot know
        whether it is alone or cut off.
        """
        asked = set()
        answered = set()
        for question in self._questions.values():
            age = now - question.asked
            if age > self.span:
                continue
            if question.answered:
                answered.add(question.peer)
            if question.answered or age >= self.patience:
                asked.add(question.peer)
        return bool(answered) and 2 * (len(answered) + 1) > len(asked) + 1

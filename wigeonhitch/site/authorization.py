"""Decides which team a request belongs to, and refuses requests without a valid key."""

import collections
from collections.abc import Callable

from wigeonhitch.jobs import credential, model
from wigeonhitch.site import configuration, message
from wigeonhitch.telemetry import log, metric

__all__ = ["Authorizer"]

MAX_REVOKED_KEYS = 10_000
"""Digests of revoked keys that are remembered, to tell callers why they are refused."""


class Authorizer:
    """Looks up callers' keys in the configuration in force.

    Parameters
    ----------
    get_catalogue : callable
        Returns the configuration in force, if any.
    get_currency : callable
        Returns how current that configuration is known to be.
    instruments : metric.Instruments
        Counts refusals by reason.
    """

    def __init__(
        self,
        get_catalogue: Callable[[], model.Catalogue | None],
        get_currency: Callable[[], configuration.Currency],
        instruments: metric.Instruments,
    ) -> None:
        self._get_catalogue = get_catalogue
        self._get_currency = get_currency
        self._instruments = instruments
        self._indexed: model.Catalogue | None = None
        self._teams: dict[bytes, model.Team] = {}
        self._revoked: collections.OrderedDict[bytes, None] = collections.OrderedDict()

    def authorize(
        self, queue: model.Queue, key: bytes | credential.InvalidKey
    ) -> model.Team | message.Answer:
        """Return the team of a request, or the answer that refuses it.

        On an anonymous queue every request is served; a valid key then only tells the
        team. Elsewhere the answer must not depend on a configuration that may be so old
        that the key has been revoked since.
        """
        teams = self._index_teams()
        team = None if isinstance(key, credential.InvalidKey) else teams.get(key)
        if queue.is_anonymous:
            return team or model.ANONYMOUS
        if self._get_currency() is not configuration.Currency.CONFIRMED:
            return self._refuse(queue, message.refuse("configuration not confirmed"))
        if team is not None:
            return team
        reason = self._explain(key)
        return self._refuse(
            queue, message.Answer(message.Verdict.UNAUTHORIZED, reason=reason)
        )

    def _explain(self, key: bytes | credential.InvalidKey) -> str:
        if isinstance(key, credential.InvalidKey):
            return key.reason
        return "key revoked" if key in self._revoked else "unknown key"

    def _refuse(self, queue: model.Queue, answer: message.Answer) -> message.Answer:
        log.log_change("request refused", queue=queue.name, reason=answer.reason)
        self._instruments.count(
            "authorization_refusals_total",
            "Requests refused before they were handled, by reason.",
            reason=answer.reason,
        )
        return answer

    def _index_teams(self) -> dict[bytes, model.Team]:
        """Return the teams by key of the configuration in force."""
        catalogue = self._get_catalogue()
        if catalogue is None or catalogue is self._indexed:
            return self._teams
        teams = {
            digest: team for team in catalogue.teams for digest in team.key_digests
        }
        for digest in self._teams.keys() - teams.keys():
            self._revoked[digest] = None
        for digest in teams:
            self._revoked.pop(digest, None)
        while len(self._revoked) > MAX_REVOKED_KEYS:
            self._revoked.popitem(last=False)
        self._indexed, self._teams = catalogue, teams
        return teams

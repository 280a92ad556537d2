"""Operators' credentials: salted hashes in the settings, checked per request.

A credential is ``Authorization: Bearer name:secret``. The settings hold only
a scrypt hash of the secret, so reading the settings does not give access.
"""

import collections
import enum
import hashlib
import hmac
import os
from typing import NamedTuple

__all__ = ["Credentials", "Operator", "Refusal", "hash_secret", "make_operator"]

# scrypt: 16 MB and some 25 ms of one core for each check of a secret; makes a
# stolen settings file expensive to search.
SCRYPT_COST = 2**14
SCRYPT_BLOCK = 8
SALT_BYTES = 16

# Checked secrets kept, so that a console that asks every second pays for
# scrypt once in a lifetime (seconds) of the entry.
KEPT = 256
LIFETIME = 300.0

# Wrong secrets of one name within the span (seconds) after which further ones
# are refused unread. Five a minute stop guessing; an operator who mistypes
# waits a minute, and secrets checked already keep working meanwhile.
WRONG_TRIES = 5
WRONG_SPAN = 60.0

# Longest credential that is read, characters.
LONGEST = 512


class Operator(NamedTuple):
    """One operator of the settings.

    Parameters
    ----------
    name : str
        Who it is; appears as author and approver.
    roles : tuple of str
        Roles for approval rules; ``viewer`` alone may change nothing.
    salt, hash : str
        Hexadecimal salt and scrypt hash of the secret.
    """

    name: str
    roles: tuple[str, ...]
    salt: str
    hash: str

    @property
    def may_change(self) -> bool:
        """Whether any role allows changes."""
        return any(role != "viewer" for role in self.roles)


class Refusal(enum.Enum):
    """Why a credential was not taken."""

    MISSING = "no credential: send Authorization: Bearer name:secret"
    WRONG = "unknown operator or wrong secret"
    TOO_MANY = "too many wrong secrets; come back in a minute"


def hash_secret(secret: str, salt: str) -> str:
    """Return the scrypt hash of a secret, hexadecimal."""
    digest = hashlib.scrypt(
        secret.encode("utf-8"),
        salt=bytes.fromhex(salt),
        n=SCRYPT_COST,
        r=SCRYPT_BLOCK,
        p=1,
    )
    return digest.hex()


def make_operator(name: str, roles: tuple[str, ...], secret: str) -> Operator:
    """Return the settings entry of an operator, with a fresh salt."""
    salt = os.urandom(SALT_BYTES).hex()
    return Operator(name, roles, salt, hash_secret(secret, salt))


class Credentials:
    """Checks credentials against the operators of the settings.

    Parameters
    ----------
    operators : tuple of Operator
        From the settings.
    """

    def __init__(self, operators: tuple[Operator, ...]) -> None:
        self.operators = {operator.name: operator for operator in operators}
        self.key = os.urandom(SALT_BYTES)
        self.checked: collections.OrderedDict[bytes, float] = collections.OrderedDict()
        self.wrong: dict[str, collections.deque[float]] = {}
        # Same cost for a name that is not known as for a wrong secret.
        self.nobody = Operator("", (), "00" * SALT_BYTES, "00")

    def recall(self, header: str, now: float) -> Operator | Refusal | None:
        """Return what is known without hashing; None when `verify` must say.

        Parameters
        ----------
        header : str
            The ``Authorization`` header.
        now : float
            Seconds on any steady clock.
        """
        parsed = parse_header(header)
        if parsed is None:
            return Refusal.MISSING
        name, _ = parsed
        digest = self.digest(header)
        if now < self.checked.get(digest, 0.0):
            return self.operators[name]
        if self.is_blocked(self.name_bucket(name), now):
            return Refusal.TOO_MANY
        return None

    def verify(self, header: str, now: float) -> Operator | Refusal:
        """Check a credential by hashing its secret; takes some 25 ms."""
        known = self.recall(header, now)
        if known is not None:
            return known
        name, secret = parse_header(header) or ("", "")
        operator = self.operators.get(name, self.nobody)
        found = hash_secret(secret, operator.salt)
        if not hmac.compare_digest(found, operator.hash):
            self.wrong.setdefault(self.name_bucket(name), collections.deque()).append(
                now
            )
            return Refusal.WRONG
        self.checked[self.digest(header)] = now + LIFETIME
        while len(self.checked) > KEPT:
            self.checked.popitem(last=False)
        return operator

    def digest(self, header: str) -> bytes:
        """Return the key under which a checked credential is kept."""
        return hmac.digest(self.key, header.encode("utf-8"), "sha256")

    def name_bucket(self, name: str) -> str:
        """Return whose wrong tries count together; unknown names share one."""
        return name if name in self.operators else ""

    def is_blocked(self, bucket: str, now: float) -> bool:
        """Return whether too many wrong secrets were tried of late."""
        tries = self.wrong.get(bucket)
        if not tries:
            return False
        while tries and now - tries[0] >= WRONG_SPAN:
            tries.popleft()
        return len(tries) >= WRONG_TRIES


def parse_header(header: str) -> tuple[str, str] | None:
    """Return name and secret of an ``Authorization`` header, or None."""
    scheme, _, value = header.strip().partition(" ")
    name, colon, secret = value.strip().partition(":")
    if scheme.lower() != "bearer" or not colon or not name or not secret:
        return None
    if len(header) > LONGEST:
        return None
    return name, secret

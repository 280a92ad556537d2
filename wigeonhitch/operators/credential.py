"""Operators' credentials: salted hashes in the settings, verified per request.

A credential is ``Authorization: Bearer name:secret``. The settings hold only
a scrypt hash of the secret, so that reading the settings does not give access.
"""

import collections
import enum
import hashlib
import hmac
import os
from typing import NamedTuple

__all__ = ["Credentials", "Operator", "Refusal", "hash_secret", "make_operator"]

# scrypt parameters: each check of a secret takes 16 MB and some 25 ms of one
# core, which makes a brute-force search of a stolen settings file expensive.
SCRYPT_COST = 2**14
SCRYPT_BLOCK_SIZE = 8
SALT_BYTES = 16

# Cache of verified secrets, so that a client that polls every second pays for
# scrypt once per lifetime of the entry.
MAX_CACHED_SECRETS = 256
CACHE_LIFETIME_SECONDS = 300.0

# Wrong secrets for one name within the window, after which further ones are
# refused without being verified. Five a minute prevent guessing. An operator who
# mistypes waits a minute; secrets verified before keep working meanwhile.
MAX_WRONG_SECRETS = 5
WRONG_SECRETS_WINDOW_SECONDS = 60.0

# Maximum length of an ``Authorization`` header that is accepted.
MAX_HEADER_CHARACTERS = 512


class Operator(NamedTuple):
    """An operator as defined in the settings.

    Parameters
    ----------
    name : str
        Name shown as author and approver.
    roles : tuple of str
        Roles for approval rules; the role ``viewer`` alone allows no changes.
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
    """Reason for which a credential is refused."""

    MISSING = "no credential: send Authorization: Bearer name:secret"
    WRONG = "unknown operator or wrong secret"
    RATE_LIMITED = "too many wrong secrets; come back in a minute"


def hash_secret(secret: str, salt: str) -> str:
    """Return the scrypt hash of a secret in hexadecimal."""
    digest = hashlib.scrypt(
        secret.encode("utf-8"),
        salt=bytes.fromhex(salt),
        n=SCRYPT_COST,
        r=SCRYPT_BLOCK_SIZE,
        p=1,
    )
    return digest.hex()


def make_operator(name: str, roles: tuple[str, ...], secret: str) -> Operator:
    """Return the settings entry of an operator, with a new salt."""
    salt = os.urandom(SALT_BYTES).hex()
    return Operator(name, roles, salt, hash_secret(secret, salt))


class Credentials:
    """Verifies credentials against the operators of the settings.

    Parameters
    ----------
    operators : tuple of Operator
        The operators of the settings.
    """

    def __init__(self, operators: tuple[Operator, ...]) -> None:
        self.operators = {operator.name: operator for operator in operators}
        self.cache_key_secret = os.urandom(SALT_BYTES)
        self.verified_until: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        self.failure_times: dict[str, collections.deque[float]] = {}
        # An unknown name costs the same time as a wrong secret, so that timing
        # does not reveal which names exist.
        self.unknown_operator = Operator("", (), "00" * SALT_BYTES, "00")

    def check_cached(self, header: str, now: float) -> Operator | Refusal | None:
        """Return the outcome that needs no hashing, or None if `verify` must decide.

        Parameters
        ----------
        header : str
            The ``Authorization`` header.
        now : float
            Seconds by a monotonic clock.
        """
        parsed = parse_header(header)
        if parsed is None:
            return Refusal.MISSING
        name, _ = parsed
        cache_key = self.get_cache_key(header)
        if now < self.verified_until.get(cache_key, 0.0):
            return self.operators[name]
        if self.is_blocked(self.get_failure_bucket(name), now):
            return Refusal.RATE_LIMITED
        return None

    def verify(self, header: str, now: float) -> Operator | Refusal:
        """Verify a credential by hashing its secret, which takes some 25 ms."""
        cached = self.check_cached(header, now)
        if cached is not None:
            return cached
        name, secret = parse_header(header) or ("", "")
        operator = self.operators.get(name, self.unknown_operator)
        computed_hash = hash_secret(secret, operator.salt)
        if not hmac.compare_digest(computed_hash, operator.hash):
            self.failure_times.setdefault(
                self.get_failure_bucket(name), collections.deque()
            ).append(now)
            return Refusal.WRONG
        self.verified_until[self.get_cache_key(header)] = now + CACHE_LIFETIME_SECONDS
        while len(self.verified_until) > MAX_CACHED_SECRETS:
            self.verified_until.popitem(last=False)
        return operator

    def get_cache_key(self, header: str) -> bytes:
        """Return the key under which a verified credential is cached."""
        return hmac.digest(self.cache_key_secret, header.encode("utf-8"), "sha256")

    def get_failure_bucket(self, name: str) -> str:
        """Return the name for which failures count; unknown names share one."""
        return name if name in self.operators else ""

    def is_blocked(self, bucket: str, now: float) -> bool:
        """Return whether there were too many wrong secrets within the window."""
        times = self.failure_times.get(bucket)
        if not times:
            return False
        while times and now - times[0] >= WRONG_SECRETS_WINDOW_SECONDS:
            times.popleft()
        return len(times) >= MAX_WRONG_SECRETS


def parse_header(header: str) -> tuple[str, str] | None:
    """Return the name and secret of an ``Authorization`` header, or None."""
    scheme, _, value = header.strip().partition(" ")
    name, colon, secret = value.strip().partition(":")
    if scheme.lower() != "bearer" or not colon or not name or not secret:
        return None
    if len(header) > MAX_HEADER_CHARACTERS:
        return None
    return name, secret

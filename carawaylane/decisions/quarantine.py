"""Quarantine of requests that crash the targets which run them."""

from __future__ import annotations

from collections import OrderedDict

from attrs import Factory, define
from xxhash import xxh3_128_hexdigest

# Different targets that must have died under a request.
MAX_VICTIMS = 2
QUARANTINE_MS = 600_000
MAX_SUSPECTS = 4096


def request_digest(service: str, method: str, path: str, body: bytes) -> str:
    """Return what tells a request from others, whatever its key."""
    head = f'{service}\n{method}\n{path}\n'.encode()
    return xxh3_128_hexdigest(head + body)


@define(kw_only=True)
class _Suspect:
    victims: set[str] = Factory(set)
    at_ms: int = 0


@define(kw_only=True)
class Quarantine:
    """Requests under which targets died, by digest."""

    max_victims: int = MAX_VICTIMS
    suspects: OrderedDict[str, _Suspect] = Factory(OrderedDict)

    def contains(self, digest: str, now_ms: int) -> bool:
        """Return whether the request must not run any more."""
        self._expire(now_ms)
        suspect = self.suspects.get(digest)
        return suspect is not None and len(suspect.victims) >= self.max_victims

    def record_crash(self, digest: str, target: str, now_ms: int) -> bool:
        """Count a target that died; True if the request is now held."""
        suspect = self.suspects.pop(digest, None) or _Suspect()
        suspect.victims.add(target)
        suspect.at_ms = now_ms
        self.suspects[digest] = suspect
        if len(self.suspects) > MAX_SUSPECTS:
            self.suspects.popitem(last=False)
        return len(suspect.victims) >= self.max_victims

    def _expire(self, now_ms: int) -> None:
        while self.suspects:
            digest, suspect = next(iter(self.suspects.items()))
            if suspect.at_ms + QUARANTINE_MS > now_ms:
                return
            del self.suspects[digest]

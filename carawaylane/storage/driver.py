"""What the fleet needs of the platform's object API, and its drivers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Callable


@frozen(kw_only=True)
class VersionedObject:
    """An object with its version; version 0 means that there is none."""

    key: str
    version: int
    value: Any = None


@frozen(kw_only=True)
class HostState:
    """A host as the platform's list, which lags, shows it."""

    name: str
    leaving: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionConflict:
    """The object has another version than the condition names."""

    current: VersionedObject


@dataclass(frozen=True, kw_only=True, slots=True)
class Unavailable:
    """No answer: a write may or may not have taken effect."""

    reason: str


class PlatformDriver(Protocol):
    """The object API: versions, conditional updates, lists, watches."""

    async def get(self, key: str) -> VersionedObject | Unavailable:
        """Return an object as it is now."""

    async def put(
        self, key: str, value: Any, *, if_version: int
    ) -> VersionedObject | VersionConflict | Unavailable:
        """Write an object if it has the given version."""

    async def delete(self, key: str) -> bool | Unavailable:
        """Remove an object."""

    async def list_objects(
        self, prefix: str, *, after: str
    ) -> list[VersionedObject] | Unavailable:
        """Return objects below a prefix whose keys follow `after`."""

    async def watch(
        self, prefix: str, *, after: str, timeout_s: float
    ) -> list[VersionedObject] | Unavailable:
        """Wait for objects below a prefix whose keys follow `after`."""

    async def hosts(self) -> list[HostState] | Unavailable:
        """Return the platform's list of hosts."""

    async def close(self) -> None:
        """Close the connections."""


_DRIVERS: dict[str, Callable[[str], PlatformDriver]] = {}


def driver(name: str) -> Callable[[Any], Any]:
    """Register a maker of drivers, which takes a URL."""

    def register(func: Callable[[str], PlatformDriver]) -> Any:
        _DRIVERS[name] = func
        return func

    return register


def make_driver(name: str, url: str) -> PlatformDriver:
    """Return a driver of the object API at a URL."""
    return _DRIVERS[name](url)

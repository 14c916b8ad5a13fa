"""Interface and registry of drivers for the platform's object API."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from attrs import field, frozen
from attrs.validators import instance_of

if TYPE_CHECKING:
    from collections.abc import Callable


@frozen(kw_only=True, repr=False)
class VersionedObject:
    """An object and its version; version 0 means that it does not exist."""

    key: str = field(validator=instance_of(str))
    version: int = field(validator=instance_of(int))
    value: Any = None


@frozen(kw_only=True, repr=False)
class HostState:
    """A host in the platform's list of hosts, which lags behind."""

    name: str = field(validator=instance_of(str))
    leaving: bool = field(validator=instance_of(bool))


@frozen(kw_only=True, repr=False)
class VersionConflict:
    """A conditional write failed: the object has another version."""

    current: VersionedObject


@frozen(kw_only=True, repr=False)
class Unavailable:
    """The API did not answer; a write may or may not have taken effect."""

    reason: str


class PlatformDriver(Protocol):
    """Client of the object API.

    Objects have versions; writes are conditional on the version.
    """

    async def get(self, key: str) -> VersionedObject | Unavailable:
        """Return the current version of an object."""

    async def put(
        self, key: str, value: Any, *, if_version: int
    ) -> VersionedObject | VersionConflict | Unavailable:
        """Write an object if `if_version` is its current version."""

    async def delete(self, key: str) -> bool | Unavailable:
        """Delete an object; return whether it existed."""

    async def list_objects(
        self, prefix: str, *, after: str
    ) -> list[VersionedObject] | Unavailable:
        """Return the objects with a key prefix whose keys follow `after`."""

    async def watch(
        self, prefix: str, *, after: str, timeout_s: float
    ) -> list[VersionedObject] | Unavailable:
        """Wait for objects with a key prefix whose keys follow `after`.

        Return an empty list if there are none after `timeout_s`.
        """

    async def hosts(self) -> list[HostState] | Unavailable:
        """Return the platform's list of hosts."""

    async def close(self) -> None:
        """Close the connections."""


_DRIVERS: dict[str, Callable[[str], PlatformDriver]] = {}


def driver(name: str) -> Callable[[Any], Any]:
    """Register a factory that creates a driver from the URL of the API."""

    def register(func: Callable[[str], PlatformDriver]) -> Any:
        _DRIVERS[name] = func
        return func

    return register


def make_driver(name: str, url: str) -> PlatformDriver:
    """Create the named driver for the object API at a URL."""
    return _DRIVERS[name](url)

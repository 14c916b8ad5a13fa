"""gRPC channels that the calls to a peer share."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from attrs import Factory, define
from grpclib.client import Channel

from carawaylane.kernel.addresses import split_address

if TYPE_CHECKING:
    from collections.abc import Iterator


@define(kw_only=True, eq=False, repr=False)
class SharedChannel:
    """A channel to a peer and the number of calls that use it.

    `replied_at_s` is when the last reply came over it.
    """

    address: str
    channel: Channel
    calls: int = 0
    is_retired: bool = False
    replied_at_s: float = float('-inf')


@define(kw_only=True, eq=False, repr=False)
class ChannelPool:
    """Keeps one channel to each peer for new calls.

    A retired channel gets no new calls. It is closed after its last call, so
    that a call which fails does not end the others.
    """

    _by_address: dict[str, SharedChannel] = Factory(dict)
    _retired: set[SharedChannel] = Factory(set)

    @contextmanager
    def use(self, address: str) -> Iterator[SharedChannel]:
        """Return the channel to a peer for one call, or raise OSError."""
        shared = self._by_address.get(address)
        if shared is None:
            host, port = split_address(address)
            shared = SharedChannel(
                address=address, channel=Channel(host, port)
            )
            self._by_address[address] = shared
        shared.calls += 1
        try:
            yield shared
        finally:
            shared.calls -= 1
            if shared.is_retired and not shared.calls:
                self._retired.discard(shared)
                shared.channel.close()

    def retire(self, shared: SharedChannel) -> None:
        """Let the next call to the peer open a new channel."""
        if not shared.is_retired:
            shared.is_retired = True
            del self._by_address[shared.address]
            self._retired.add(shared)

    def close(self) -> None:
        """Close all channels, also under their calls."""
        for shared in (*self._by_address.values(), *self._retired):
            shared.channel.close()

"""Which peers did not reply lately, as this node has seen."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

if TYPE_CHECKING:
    from collections.abc import Iterable

# A silent peer gets a heartbeat at this period, to find out if it is back.
RETRY_PERIOD_S = 3.0
# Peers that nobody calls any more have left the list of members.
FORGET_S = 120.0


@define(kw_only=True, eq=False, repr=False)
class SilentPeers:
    """Addresses of peers whose last call failed, with the time of the call.

    They get changes all the same, but no other node depends on them for its
    own.
    """

    _failed_at_s: dict[str, float] = Factory(dict)

    def record_failure(self, address: str, now_s: float) -> None:
        """Record that a call to a peer failed or timed out."""
        for other, failed_at_s in list(self._failed_at_s.items()):
            if now_s - failed_at_s > FORGET_S:
                del self._failed_at_s[other]
        self._failed_at_s[address] = now_s

    def record_message(self, address: str) -> None:
        """Record that a peer replied or called."""
        self._failed_at_s.pop(address, None)

    def put_last(self, addresses: Iterable[str]) -> list[str]:
        """Return the addresses in their order, those of silent peers last."""
        return sorted(addresses, key=self._failed_at_s.__contains__)

    def due_for_heartbeat(
        self, addresses: Iterable[str], now_s: float
    ) -> list[str]:
        """Return the addresses without those whose calls failed just now."""
        return [
            address
            for address in addresses
            if now_s - self._failed_at_s.get(address, float('-inf'))
            >= RETRY_PERIOD_S
        ]

"""The rights of this entry, and the homes that it asks and lends them to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaylane.decisions.customers.quota_home import LOAN_S, RENEWAL_S
from carawaylane.decisions.customers.quota_right import QuotaRight
from carawaylane.decisions.customers.silent_homes import SilentHomes
from carawaylane.telemetry.events import QUOTA_HOME_SILENT, emit

if TYPE_CHECKING:
    from collections.abc import Iterator

    from carawaylane.gateway.directory import Directory
    from carawaylane.gateway.quota_homes import QuotaHomes
    from carawaylane.kernel.kernel import Kernel

# Number of other nodes that a request asks before this node decides, and of
# the first members by rank that may be homes. An entry that starts asks all of
# these whether an earlier run of it lends them its right.
MAX_HOMES_TRIED = 2
MAX_HOMES = 3


class QuotaRights:
    """One right for each shard, and the homes by their rank for it."""

    def __init__(
        self, *, kernel: Kernel, directory: Directory, homes: QuotaHomes
    ) -> None:
        self.by_shard: dict[str, QuotaRight] = {}
        self.silent_homes = SilentHomes()
        self._kernel = kernel
        self._directory = directory
        self._homes = homes
        self._probed_at_s: dict[str, float] = {}

    def is_member(self, home: str) -> bool:
        """Return whether there is a way to a home."""
        return home in self._directory.members

    def prefers(self, home: str, shard: str, holder: str) -> bool:
        """Return whether a home ranks before the present holder."""
        for member in self._ranked(shard):
            if member == home:
                return True
            if member == holder and not self.is_avoided(member):
                return False
        return home == self._kernel.cfg.name

    def avoid(self, home: str) -> None:
        """Avoid a home that did not reply in time, for a while."""
        avoided_s = self.silent_homes.record_silence(
            home, self._kernel.now_s()
        )
        if avoided_s is not None:
            emit(QUOTA_HOME_SILENT, member=home, avoided_s=avoided_s)

    def is_avoided(self, home: str) -> bool:
        """Return whether a home is not to be asked at present."""
        return (
            self.silent_homes.is_avoided(home, self._kernel.now_s())
            or home not in self._directory.members
        )

    def _ranked(self, shard: str) -> list[str]:
        return self._directory.ranked_for_few_duties(f'quota|{shard}')

    def candidates(self, shard: str) -> list[str]:
        """Return the homes by rank; this node is the last one."""
        own_name = self._kernel.cfg.name
        candidates: list[str] = []
        for member in self._ranked(shard)[:MAX_HOMES]:
            if member == own_name or len(candidates) == MAX_HOMES_TRIED:
                break
            if not self.is_avoided(member):
                candidates.append(member)
        return [*candidates, own_name]

    def first_homes(self, shard: str) -> frozenset[str]:
        """Return the other nodes to which an earlier run may have lent.

        There are none while the members are not known.
        """
        return frozenset(self._ranked(shard)[:MAX_HOMES]) - {
            self._kernel.cfg.name
        }

    def unconfirmed(self, shard: str) -> frozenset[str]:
        """Return the homes that may still use the right of an earlier run."""
        return self.by_shard[shard].unconfirmed(
            self.first_homes(shard), self._kernel.now_s()
        )

    def homes_to_ask(self, shard: str) -> Iterator[str]:
        """Return the homes that a request asks; the holder is the first.

        Renewals find out whether a home that ranks before it is back, so that
        no request waits for that.
        """
        first = self.by_shard[shard].holder
        if first and not self.is_avoided(first):
            yield first
        else:
            first = ''
        if first == self._kernel.cfg.name:
            return
        for home in self.candidates(shard):
            if home != first:
                yield home

    def follow_shards(self) -> None:
        """Create the rights for the shards of the configuration in force."""
        self._homes.update_plan()
        if list(self.by_shard) == self._homes.shards:
            return
        # Rights may be lent by the shards, or by the run, before.
        after_start = not self.by_shard
        free_at_s = self._kernel.started_at_s
        if not after_start:
            free_at_s = self._kernel.now_s()
        self.by_shard = {
            shard: QuotaRight(
                window_s=self._homes.bounds.window_s,
                free_at_s=free_at_s + LOAN_S,
                after_start=after_start,
            )
            for shard in self._homes.shards
        }

    def probe_due(self, shard: str, now_s: float) -> bool:
        """Return whether a home may be probed, which records the probe."""
        if now_s - self._probed_at_s.get(shard, 0.0) < RENEWAL_S:
            return False
        self._probed_at_s[shard] = now_s
        return True

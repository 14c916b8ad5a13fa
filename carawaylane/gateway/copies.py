"""What nodes tell each other of their copies of the platform's objects."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from carawaylane.gateway.large_objects import Unpacked
from carawaylane.messages.stored_objects import (
    KIND_BY_NUMBER,
    ObjectDelta,
    ObjectKind,
)
from carawaylane.rpc.delta_codec import pack_delta

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterable

    from carawaylane.gateway.directory import Directory
    from carawaylane.gateway.large_objects import LargeObjects
    from carawaylane.kernel.service import Service
    from carawaylane.rpc.fleet_pb2 import Known, SyncRequest


class CopyExchange:
    """Applies changes of peers, and packs those that peers lack.

    The text of a large object that a message lacks is fetched by `svc` after
    the message has been handled, and a huge one is patched in steps.
    `ask_again` is called with the address of a peer whose patch has a gap.
    """

    def __init__(
        self,
        *,
        svc: Service,
        directory: Directory,
        large_objects: LargeObjects,
        ask_again: Callable[[str], Coroutine[Any, Any, bool]],
    ) -> None:
        self._svc = svc
        self._ask_again = ask_again
        self._directory = directory
        self.large_objects = large_objects

    def apply(
        self,
        deltas: Iterable[Known],
        source: str,
        address: str,
        on_fetched: Callable[[ObjectKind, ObjectDelta], None] | None = None,
    ) -> tuple[bool, bool]:
        """Apply deltas of a peer to the copies.

        The text of a large object that a delta lacks is fetched from
        the address; `on_fetched` is called if it has changed a copy.
        Returns whether a copy advanced, and whether one lacks changes that
        precede its delta.
        """
        advanced = has_gap = False
        for msg in deltas:
            kind = KIND_BY_NUMBER.get(msg.kind)
            if kind is None:
                continue
            replica = self._directory.replicas[kind]
            revision_before = replica.revision
            if 0 < msg.revision <= revision_before:
                # Peers and seeds send the same lists; their objects are known.
                if msg.revision == revision_before:
                    self._directory.mark_confirmed(kind, msg.age_ms / 1000)
                continue
            changes = self.large_objects.unpack(msg)
            if changes.is_missing:
                self._svc.spawn(self._fetch(address, msg, source, on_fetched))
                continue
            if changes.needs_steps:
                self._svc.spawn(self._patch(address, msg, source, on_fetched))
                continue
            if changes.has_gap:
                has_gap = True
                continue
            applied = self._directory.apply_delta(
                kind, changes.delta, msg.age_ms / 1000, source, changes.text
            )
            has_gap = has_gap or not applied
            advanced = advanced or replica.revision > revision_before
        return advanced, has_gap

    async def _fetch(
        self,
        address: str,
        msg: Known,
        source: str,
        on_fetched: Callable[[ObjectKind, ObjectDelta], None] | None,
    ) -> None:
        """Apply a delta once the peer has sent its large object."""
        started_at_s = self._svc.kernel.now_s()
        delta = await self.large_objects.fetch_missing(address, msg)
        if delta is not None:
            changes = Unpacked(delta=delta)
            self._apply_late(msg, started_at_s, changes, source, on_fetched)

    async def _patch(
        self,
        address: str,
        msg: Known,
        source: str,
        on_fetched: Callable[[ObjectKind, ObjectDelta], None] | None,
    ) -> None:
        """Apply a delta with a patch of a huge object."""
        started_at_s = self._svc.kernel.now_s()
        changes = await self.large_objects.unpack_in_steps(msg)
        if changes.is_missing:
            await self._fetch(address, msg, source, on_fetched)
            return
        has_gap = changes.has_gap or not self._apply_late(
            msg, started_at_s, changes, source, on_fetched
        )
        if has_gap and address:
            await self._ask_again(address)

    def _apply_late(
        self,
        msg: Known,
        started_at_s: float,
        changes: Unpacked,
        source: str,
        on_fetched: Callable[[ObjectKind, ObjectDelta], None] | None,
    ) -> bool:
        """Apply changes that are known only some time after their message.

        Returns False if the copy lacks changes that precede them.
        """
        kind = ObjectKind(msg.kind)
        revision_before = self._directory.replicas[kind].revision
        took_s = self._svc.kernel.now_s() - started_at_s
        applied = self._directory.apply_delta(
            kind,
            changes.delta,
            msg.age_ms / 1000 + took_s,
            source,
            changes.text,
        )
        revision_after = self._directory.replicas[kind].revision
        if on_fetched is not None and revision_after > revision_before:
            on_fetched(kind, changes.delta)
        return applied

    def deltas_for_peer(self, request: SyncRequest) -> Iterable[Known]:
        """Return the changes that a peer lacks.

        If its copy is as recent as the one of this node, the delta is empty,
        but says how long ago the store confirmed the revision. Large ones are
        left out while the link is busy: the peer asks again or elsewhere, and
        small messages, such as heartbeats, are not delayed.
        """
        for msg in request.known:
            kind = KIND_BY_NUMBER.get(msg.kind)
            if kind is None:
                continue
            replica = self._directory.replicas[kind]
            if replica.revision < msg.revision or not replica.revision:
                continue
            delta = replica.changes_since(msg.revision)
            if request.takes_packed:
                known = self.large_objects.pack_reply(
                    kind, delta, self._age_s(kind), request.held
                )
            else:
                known = self.pack(kind, delta)
            if self.large_objects.may_send(known.ByteSize()):
                yield known

    def copy_states(self) -> list[Known]:
        """Return the revisions and ages of the copies, without objects."""
        states = []
        for kind, replica in self._directory.replicas.items():
            empty_delta = ObjectDelta(
                items=(), revision=replica.revision, base=replica.revision
            )
            states.append(self.pack(kind, empty_delta))
        return states

    def pack(self, kind: ObjectKind, delta: ObjectDelta) -> Known:
        """Return the message of a delta, with whole objects in it."""
        return pack_delta(kind.value, delta, self._age_s(kind))

    def pack_push(self, kind: ObjectKind, delta: ObjectDelta) -> Known:
        """Return the message of a delta with large objects for any node."""
        return self.large_objects.pack_push(kind, delta, self._age_s(kind))

    def _age_s(self, kind: ObjectKind) -> float:
        return self._directory.replicas[kind].age_s(self._svc.kernel.now_s())

"""Exchanges large objects with peers: patches, and wholes in parts."""

from __future__ import annotations

from asyncio import Lock
from typing import TYPE_CHECKING

from attrs import frozen

from carawaylane.decisions.propagation.dissemination import (
    LARGE_MESSAGE_BYTES,
)
from carawaylane.decisions.propagation.pacing import SendPace
from carawaylane.decisions.propagation.segments import (
    SegmentedText,
    text_digest,
)
from carawaylane.gateway.plan_adoption import HUGE_OBJECT_BYTES, is_large
from carawaylane.gateway.whole_fetch import PART_BYTES, WholeFetch, with_items
from carawaylane.kernel.steps import run_at_once, run_in_steps
from carawaylane.messages.stored_objects import (
    KIND_BY_NUMBER,
    ObjectDelta,
    ObjectKind,
    StoredObject,
)
from carawaylane.rpc.delta_codec import (
    compress_text,
    pack_delta,
    pack_large_delta,
    pack_patch,
    unpack_delta,
    unpack_patch,
)
from carawaylane.rpc.fleet_pb2 import (
    Fetch,
    Held,
    Known,
    Packed,
    SyncReply,
    SyncRequest,
)
from carawaylane.telemetry.events import PATCH_REFUSED, emit

if TYPE_CHECKING:
    from asyncio import TimerHandle
    from collections.abc import Awaitable, Callable, Generator, Iterable

    from carawaylane.gateway.directory import Directory
    from carawaylane.kernel.kernel import Kernel

# A patch that is pushed is not larger, so that nodes with small links can
# forward it to several others.
MAX_PUSH_BYTES = 8 << 10
# A compressed whole is kept for nodes that ask soon after each other.
COMPRESSED_TTL_S = 10.0


@frozen(kw_only=True, eq=False, repr=False)
class Unpacked:
    """What a message of a peer holds.

    `is_missing` says that it lacks the text of a large object, `has_gap` that
    it can't be applied to the copy, `needs_steps` that it has a patch of a
    huge object.
    """

    delta: ObjectDelta
    text: SegmentedText | None = None
    is_missing: bool = False
    has_gap: bool = False
    needs_steps: bool = False


@frozen(kw_only=True, eq=False, repr=False)
class _Compressed:
    digest: bytes
    body: bytes


class LargeObjects:
    """Packs and unpacks the messages of a node with large objects in them."""

    def __init__(
        self,
        *,
        directory: Directory,
        call: Callable[[str, SyncRequest], Awaitable[SyncReply | None]],
        call_later: Callable[[float, Callable[[], None]], TimerHandle],
        kernel: Kernel,
    ) -> None:
        self._directory = directory
        self._call_later = call_later
        self._kernel = kernel
        self._pace = SendPace(link_mbps=kernel.cfg.link_mbps)
        self._compressed: _Compressed | None = None
        self._drop_timer: TimerHandle | None = None
        self.fetch = WholeFetch(
            directory=directory,
            call=call,
            kernel=kernel,
            on_body=self._keep_compressed,
        )
        # Set after a patch with a wrong result, until a whole has arrived.
        self._needs_whole = False
        # Several peers may send the same patch at once.
        self._patching = Lock()

    def held(self) -> list[Held]:
        """Return the large objects that patches may start from."""
        text = self._directory.adoption.text
        if text is None or self._needs_whole:
            return []
        return [
            Held(
                kind=ObjectKind.PLAN.value,
                name=item.name,
                revision=text.revision,
                digest=text.digest,
            )
            for item in self._directory.replicas[ObjectKind.PLAN].existing()
        ]

    def pack_push(
        self, kind: ObjectKind, delta: ObjectDelta, age_s: float
    ) -> Known:
        """Return a message of changes for nodes whose copies aren't known.

        Its patch starts from one of the last versions; it only announces an
        object if the patch would be large.
        """
        return self._pack(kind, delta, age_s, self._pack_for_push)

    def pack_reply(
        self,
        kind: ObjectKind,
        delta: ObjectDelta,
        age_s: float,
        held: Iterable[Held],
    ) -> Known:
        """Return a message of changes for a peer with these copies."""
        held_by_name = {
            item.name: item for item in held if item.kind == kind.value
        }
        return self._pack(
            kind,
            delta,
            age_s,
            lambda item: self._pack_for_peer(
                item, held_by_name.get(item.name)
            ),
        )

    def _pack(
        self,
        kind: ObjectKind,
        delta: ObjectDelta,
        age_s: float,
        pack_item: Callable[[StoredObject], Packed],
    ) -> Known:
        large = [item for item in delta.items if is_large(item)]
        if not large:
            return pack_delta(kind.value, delta, age_s)
        others = ObjectDelta(
            items=tuple(item for item in delta.items if not is_large(item)),
            revision=delta.revision,
            base=delta.base,
        )
        return pack_large_delta(
            kind.value, others, age_s, [pack_item(item) for item in large]
        )

    def _pack_for_push(self, item: StoredObject) -> Packed:
        text = self._text_of(item)
        if text is not None:
            for base in (*text.history[:1], *text.history[-1:]):
                patch = pack_patch(item.name, text.patch_since(base))
                if len(patch.body) <= MAX_PUSH_BYTES:
                    return patch
        return self._announce(item)

    def _pack_for_peer(self, item: StoredObject, held: Held | None) -> Packed:
        text = self._text_of(item)
        if held is not None and text is not None:
            if held.digest == text.digest:
                # The content is the same, in another era perhaps.
                return Packed(
                    name=item.name,
                    revision=item.revision,
                    digest=text.digest,
                )
            if text.can_patch(held.revision):
                patch = pack_patch(item.name, text.patch_since(held.revision))
                if len(patch.body) <= PART_BYTES:
                    return patch
        return self._announce(item)

    def _announce(self, item: StoredObject) -> Packed:
        """Return a whole without its body.

        A peer that is told of it by several others fetches it from one.
        """
        compressed = self._compress(item)
        return Packed(
            name=item.name,
            revision=item.revision,
            digest=compressed.digest,
            body_size=len(item.data or b''),
            packed_size=len(compressed.body),
        )

    def _text_of(self, item: StoredObject) -> SegmentedText | None:
        """Return the segments of an object if they are known by now."""
        text = self._directory.adoption.text
        if text is None or text.revision != item.revision:
            return None
        return text

    def _compress(self, item: StoredObject) -> _Compressed:
        data = item.data or b''
        text = self._text_of(item)
        digest = text.digest if text is not None else text_digest(data)
        kept = self._compressed
        if kept is not None and kept.digest == digest:
            body = kept.body
        else:
            body = compress_text(data)
        return self._keep_compressed(digest, body)

    def _keep_compressed(self, digest: bytes, body: bytes) -> _Compressed:
        """Keep a compressed whole for the peers that ask for it.

        A node that has fetched it passes on the same body: it does not
        compress the text again, and parts of several peers fit together,
        whatever their versions of the library.
        """
        self._compressed = _Compressed(digest=digest, body=body)
        if self._drop_timer is not None:
            self._drop_timer.cancel()
        self._drop_timer = self._call_later(
            COMPRESSED_TTL_S, self._drop_compressed
        )
        return self._compressed

    def _drop_compressed(self) -> None:
        self._compressed = self._drop_timer = None

    def reply_with_part(self, fetch: Fetch) -> SyncReply:
        """Return a part of a whole, empty if this node has another one."""
        kind = KIND_BY_NUMBER.get(fetch.kind)
        if kind is None:
            return SyncReply()
        item = self._directory.replicas[kind].items.get(fetch.name)
        if item is None or not is_large(item):
            return SyncReply()
        compressed = self._compress(item)
        if compressed.digest != fetch.digest:
            return SyncReply()
        return SyncReply(
            part=self._part(compressed, fetch.offset),
            packed_size=len(compressed.body),
        )

    def _part(self, compressed: _Compressed, offset: int) -> bytes:
        """Return a part of a body, or nothing if the link is busy."""
        part = compressed.body[offset : offset + PART_BYTES]
        return part if self.may_send(len(part)) else b''

    def may_send(self, size: int) -> bool:
        """Return whether the link has room for a reply, and count it."""
        return size <= LARGE_MESSAGE_BYTES or self._pace.try_send(
            size, self._kernel.now_s()
        )

    async def fetch_missing(
        self, address: str, msg: Known
    ) -> ObjectDelta | None:
        """Return the changes in a message once a peer has sent the texts.

        None if none does, or if they are fetched already.
        """
        delta = await self.fetch.run(address, msg)
        if delta is not None:
            self._needs_whole = False
        return delta

    def unpack(self, msg: Known) -> Unpacked:
        """Return the changes in a message, with those of a large object.

        Those of a huge one are left to `unpack_in_steps`.
        """
        if self._has_huge_patch(msg):
            return Unpacked(delta=unpack_delta(msg), needs_steps=True)
        return run_at_once(self._unpack(msg))

    async def unpack_in_steps(self, msg: Known) -> Unpacked:
        """Return the changes in a message; other tasks run meanwhile.

        If the copy changes meanwhile, they are unpacked again.
        """
        replica = self._directory.replicas[ObjectKind(msg.kind)]
        async with self._patching:
            while True:
                held = self._directory.adoption.text
                revision = replica.revision
                changes = await run_in_steps(self._unpack(msg))
                if (
                    self._directory.adoption.text is held
                    and replica.revision == revision
                ):
                    return changes

    def _has_huge_patch(self, msg: Known) -> bool:
        held = self._directory.adoption.text
        return (
            held is not None
            and len(held.split.text) >= HUGE_OBJECT_BYTES
            and any(
                packed.base and packed.revision > held.revision
                for packed in msg.packed
            )
        )

    def _unpack(self, msg: Known) -> Generator[None, None, Unpacked]:
        delta = unpack_delta(msg)
        kind = ObjectKind(msg.kind)
        replica = self._directory.replicas[kind]
        items = list(delta.items)
        text = None
        for packed in msg.packed:
            if kind is ObjectKind.PLAN:
                self._directory.record_newer_plan(packed.revision)
            current = replica.items.get(packed.name)
            if current is not None and current.revision >= packed.revision:
                items.append(current)
                continue
            held = self._directory.adoption.text
            if packed.base:
                text = yield from self._apply_patch(held, packed)
                if text is None:
                    return Unpacked(delta=delta, has_gap=True)
                data = text.split.text
            elif held is not None and held.digest == packed.digest:
                data = held.split.text
            else:
                return Unpacked(delta=delta, is_missing=True)
            items.append(
                StoredObject(
                    name=packed.name, revision=packed.revision, data=data
                )
            )
        return Unpacked(delta=with_items(delta, items), text=text)

    def _apply_patch(
        self, held: SegmentedText | None, packed: Packed
    ) -> Generator[None, None, SegmentedText | None]:
        if held is None:
            return None
        patch = unpack_patch(packed)
        if patch is not None and not held.fits(patch):
            return None
        text = None
        if patch is not None:
            text = yield from held.apply(patch)
        if text is None:
            self._needs_whole = True
            emit(
                PATCH_REFUSED,
                entry=packed.name,
                base=packed.base,
                revision=packed.revision,
            )
        return text

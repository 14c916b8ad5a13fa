"""Fetches large objects from peers as wholes, part by part."""

from __future__ import annotations

from asyncio import gather, sleep
from typing import TYPE_CHECKING

from carawaylane.decisions.propagation.segments import text_digest
from carawaylane.messages.stored_objects import ObjectDelta, StoredObject
from carawaylane.rpc.delta_codec import decompress_text, unpack_delta
from carawaylane.rpc.fleet_pb2 import (
    Fetch,
    Known,
    Packed,
    SyncReply,
    SyncRequest,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from carawaylane.gateway.directory import Directory
    from carawaylane.kernel.kernel import Kernel

# A link of 5 Mbit/s takes 77 ms for a part, so PARTS_IN_FLIGHT end long before
# the timeout of a call.
PART_BYTES = 48 << 10
PARTS_IN_FLIGHT = 2
# A peer that has announced an object may have to fetch it itself first, or
# its link may be busy.
PART_RETRY_S = 0.1
PART_ATTEMPTS = 40


class WholeFetch:
    """Fetches the texts that messages of peers announce, one at a time.

    What has arrived of a text is kept if its peers send no more.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        call: Callable[[str, SyncRequest], Awaitable[SyncReply | None]],
        kernel: Kernel,
        on_body: Callable[[bytes, bytes], object],
    ) -> None:
        self._directory = directory
        self._call = call
        # Called with the digest of a text that has arrived and its body.
        self._on_body = on_body
        self._kernel = kernel
        # The revision that is being fetched.
        self._fetched_revision: int | None = None
        # The digest and the first parts of a text that is not complete.
        self._partial = (b'', b'')

    @property
    def is_running(self) -> bool:
        """Whether a text is on its way."""
        return self._fetched_revision is not None

    async def run(self, address: str, msg: Known) -> ObjectDelta | None:
        """Return the changes in a message once a peer has sent the texts.

        The peer at the address has announced them. None if no peer sends
        them, or if they are fetched already.
        """
        fetched = self._fetched_revision
        if fetched is not None and fetched >= msg.revision:
            return None
        self._fetched_revision = msg.revision
        delta = unpack_delta(msg)
        items = list(delta.items)
        try:
            for packed in msg.packed:
                item = await self._fetch_item(address, msg.kind, packed)
                if item is None:
                    return None
                items.append(item)
        finally:
            # A fetch of a later revision may have begun meanwhile.
            if self._fetched_revision == msg.revision:
                self._fetched_revision = None
        return with_items(delta, items)

    async def _fetch_item(
        self, address: str, kind: int, packed: Packed
    ) -> StoredObject | None:
        body = await self._fetch_body(address, kind, packed)
        data = decompress_text(body, packed.body_size)
        if data is None or text_digest(data) != packed.digest:
            return None
        self._on_body(packed.digest, body)
        return StoredObject(
            name=packed.name, revision=packed.revision, data=data
        )

    async def _fetch_body(
        self, address: str, kind: int, packed: Packed
    ) -> bytes:
        digest, body = self._partial
        if digest != packed.digest or len(body) < len(packed.body):
            body = packed.body
        while len(body) < packed.packed_size:
            offsets = range(len(body), packed.packed_size, PART_BYTES)
            parts = await gather(
                *(
                    self._fetch_part(address, kind, packed, offset)
                    for offset in offsets[:PARTS_IN_FLIGHT]
                )
            )
            for part in parts:
                if not part:
                    self._partial = (packed.digest, body)
                    return b''
                body += part
        self._partial = (b'', b'')
        return body

    async def _fetch_part(
        self, address: str, kind: int, packed: Packed, offset: int
    ) -> bytes:
        msg = SyncRequest(
            takes_packed=True,
            fetch=Fetch(
                kind=kind,
                name=packed.name,
                digest=packed.digest,
                offset=offset,
            ),
        )
        for attempt in range(PART_ATTEMPTS):
            # Peers that have it by now spare the one that has announced it.
            source = self._other_source(address) if attempt % 2 else address
            reply = await self._call(source, msg)
            if reply is not None and reply.part:
                return reply.part
            if source == address:
                await sleep(PART_RETRY_S * (0.5 + self._kernel.rng.random()))
        return b''

    def _other_source(self, address: str) -> str:
        """Return another node of this data centre that may have a whole.

        Most have a link that is not a small one.
        """
        cfg = self._kernel.cfg
        members = [
            member
            for member in self._directory.members_of(cfg.data_centre)
            if member.name != cfg.name and member.address != address
        ]
        if not members:
            return address
        return self._kernel.rng.choices(
            members, [member.link_mbps for member in members]
        )[0].address


def with_items(delta: ObjectDelta, items: list[StoredObject]) -> ObjectDelta:
    """Return a delta with other items."""
    return ObjectDelta(
        items=tuple(items), revision=delta.revision, base=delta.base
    )

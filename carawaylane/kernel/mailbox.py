"""Mailboxes by which tasks talk."""

from __future__ import annotations

from asyncio import Future, Queue, get_running_loop
from typing import Any

from attrs import Factory, define, frozen


@frozen(kw_only=True)
class Envelope:
    """A message and where its reply goes, if one is wanted."""

    msg: Any
    reply: Future[Any] | None = None


@define(kw_only=True)
class Mailbox:
    """Messages that wait for one task."""

    queue: Queue[Envelope] = Factory(Queue)

    def post(self, msg: object) -> None:
        """Leave a message without waiting for a reply."""
        self.queue.put_nowait(Envelope(msg=msg))

    async def ask(self, msg: object) -> Any:
        """Leave a message and return the reply to it."""
        fut: Future[Any] = get_running_loop().create_future()
        self.queue.put_nowait(Envelope(msg=msg, reply=fut))
        return await fut

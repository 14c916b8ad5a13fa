"""Mailboxes: queues of messages between the services of a node."""

from __future__ import annotations

from asyncio import Future, Queue, get_running_loop
from typing import Any

from attrs import Factory, define, frozen


@frozen(kw_only=True, eq=False, repr=False)
class Envelope:
    """A message with the future for its reply, if the sender awaits one."""

    msg: Any
    reply: Future[Any] | None = None


@define(kw_only=True, eq=False, repr=False)
class Mailbox:
    """Messages queued for one actor."""

    queue: Queue[Envelope] = Factory(Queue)

    def post(self, msg: object) -> None:
        """Send a message without waiting for a reply."""
        self.queue.put_nowait(Envelope(msg=msg))

    async def ask(self, msg: object) -> Any:
        """Send a message and return the reply to it."""
        reply: Future[Any] = get_running_loop().create_future()
        self.queue.put_nowait(Envelope(msg=msg, reply=reply))
        return await reply

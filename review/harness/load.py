"""Clients that send requests at a rate, each on a kept connection."""

from __future__ import annotations

from asyncio import Task, create_task, gather, sleep
from collections.abc import Sequence
from random import Random

from attrs import Factory, define, frozen

from review.harness.client import Answer, Client
from review.harness.fleet import Node
from review.harness.record import Record


@frozen(kw_only=True)
class Traffic:
    """One kind of request: its method, path, body size and share."""

    method: str
    path: str
    weight: float = 1.0
    body_bytes: int = 0
    deadline_s: float = 2.5


@define(kw_only=True, eq=False)
class Load:
    """Clients of some nodes; each waits for an answer before it goes on."""

    nodes: Sequence[Node]
    host: str
    record: Record
    traffic: Sequence[Traffic]
    clients_per_node: int
    # Mean pause of a client between an answer and its next request.
    pause_s: float
    rng: Random = Factory(lambda: Random(1))
    answers: list[Answer] = Factory(list)
    # By request: the node that it was sent to, and its method.
    sent: dict[str, tuple[str, str]] = Factory(dict)
    _tasks: list[Task[None]] = Factory(list)

    def start(self) -> None:
        """Start the clients."""
        self._tasks = [
            create_task(self._run(node))
            for node in self.nodes
            for _ in range(self.clients_per_node)
        ]

    async def _run(self, node: Node) -> None:
        client = Client(address=node.front, host=self.host, record=self.record)
        try:
            while True:
                await sleep(self.rng.expovariate(1 / self.pause_s))
                kind = self.rng.choices(
                    self.traffic, [item.weight for item in self.traffic]
                )[0]
                answer = await client.send(
                    kind.method,
                    kind.path,
                    body=bytes(kind.body_bytes),
                    deadline_s=kind.deadline_s,
                )
                self.answers.append(answer)
                self.sent[answer.request_id] = (node.name, kind.method)
        finally:
            client.close()

    async def stop(self) -> None:
        """Stop the clients."""
        for task in self._tasks:
            task.cancel()
        await gather(*self._tasks, return_exceptions=True)

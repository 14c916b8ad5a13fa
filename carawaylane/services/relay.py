"""The node's replicas of both logs, and passing changes on to peers."""

from __future__ import annotations

from asyncio import gather
from json import dumps, loads
from typing import TYPE_CHECKING

from carawaylane.config.state import ConfigState
from carawaylane.decisions.changelog import Batch, Change, LogReplica
from carawaylane.decisions.fleet import FleetState
from carawaylane.kernel.service import Actor, handles, service
from carawaylane.messages.logs import (
    ApplyBatch,
    ConfigChanged,
    FleetChanged,
    ReadBatch,
)
from carawaylane.rpc.node_pb2 import Change as ChangePb
from carawaylane.rpc.node_pb2 import LogBatch, PullRequest
from carawaylane.telemetry.events import CONFIG_IN_FORCE, emit

if TYPE_CHECKING:
    from carawaylane.kernel.kernel import Kernel

CONFIG = 'config'
FLEET = 'fleet'
# Peers that each node passes a new change on to: near ones and any ones.
NEAR_FANOUT = 3
FAR_FANOUT = 1
PUSH_TIMEOUT_S = 1.0
PULL_TIMEOUT_S = 5.0


@service('relay')
class Relay(Actor):
    """Owns the replicas; others read them and hear when they move."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.config = ConfigState()
        self.fleet = FleetState()
        self.replicas = {
            CONFIG: LogReplica(name=CONFIG, state=self.config),
            FLEET: LogReplica(name=FLEET, state=self.fleet),
        }
        self._config_listeners: list[Actor] = []
        self._fleet_listeners: list[Actor] = []
        self._pulling: set[str] = set()

    def tell_config(self, actor: Actor) -> None:
        """Post ConfigChanged to an actor from now on."""
        self._config_listeners.append(actor)
        actor.post(ConfigChanged(seq=self.seq(CONFIG), changed=None))

    def tell_fleet(self, actor: Actor) -> None:
        """Post FleetChanged to an actor from now on."""
        self._fleet_listeners.append(actor)
        actor.post(FleetChanged(seq=self.seq(FLEET)))

    def seq(self, log: str) -> int:
        """Return the place of a replica."""
        return self.replicas[log].seq

    def peer_at(self, member: str, log: str, seq: int) -> None:
        """Hear how far a peer is, and fetch from it what is missing."""
        if seq > self.seq(log) and log not in self._pulling:
            self._pulling.add(log)
            self.spawn(self._pull(member, log))

    @handles(ApplyBatch)
    def _learn(self, msg: ApplyBatch) -> bool:
        replica = self.replicas[msg.batch.log]
        before = replica.seq
        if not replica.apply_batch(msg.batch):
            return False
        snapped = msg.batch.snapshot is not None
        snapped = snapped and msg.batch.snapshot_seq > before
        self._announce(msg.batch.log, before, snapped)
        self.spawn(self._push(replica.batch_after(before)))
        return True

    @handles(ReadBatch)
    def _since(self, msg: ReadBatch) -> Batch:
        return self.replicas[msg.log].batch_after(msg.after)

    def _announce(self, log: str, before: int, snapped: bool) -> None:
        seq = self.seq(log)
        if log == FLEET:
            for actor in self._fleet_listeners:
                actor.post(FleetChanged(seq=seq))
            return
        emit(CONFIG_IN_FORCE, seq=seq)
        changed = None if snapped else self._changed(before, seq)
        for actor in self._config_listeners:
            actor.post(ConfigChanged(seq=seq, changed=changed))

    def _changed(self, before: int, seq: int) -> tuple[tuple[str, str], ...]:
        recent = self.replicas[CONFIG].recent
        keys: dict[tuple[str, str], None] = {}
        for place in range(before + 1, seq + 1):
            body = recent[place].body
            for row in body.get('put', ()):
                keys[(row['kind'], row['name'])] = None
            for kind, name in body.get('delete', ()):
                keys[(kind, name)] = None
        return tuple(keys)

    async def _push(self, batch: Batch) -> None:
        peers = self.kernel.find('peers')
        chosen = self._chosen()
        packed = pack_batch(batch)
        await gather(
            *(
                peers.call(name, 'Push', packed, PUSH_TIMEOUT_S)
                for name in chosen
            )
        )

    def _chosen(self) -> list[str]:
        membership = self.kernel.find('membership')
        alive = membership.live_peers()
        own = self.kernel.cfg.data_centre
        near = [each.name for each in alive if each.data_centre == own]
        rng = self.kernel.rng
        chosen = rng.sample(near, min(NEAR_FANOUT, len(near)))
        rest = [each.name for each in alive if each.name not in chosen]
        return chosen + rng.sample(rest, min(FAR_FANOUT, len(rest)))

    async def _pull(self, member: str, log: str) -> None:
        peers = self.kernel.find('peers')
        msg = PullRequest(log=log, after=self.seq(log))
        try:
            reply = await peers.call(member, 'Pull', msg, PULL_TIMEOUT_S)
        finally:
            self._pulling.discard(log)
        if reply is not None:
            self.post(ApplyBatch(batch=unpack_batch(reply)))


def pack_batch(batch: Batch) -> LogBatch:
    """Return a batch in its wire form."""
    snapshot = b''
    if batch.snapshot is not None:
        snapshot = dumps(batch.snapshot).encode()
    return LogBatch(
        log=batch.log,
        snapshot=snapshot,
        snapshot_seq=batch.snapshot_seq,
        changes=[
            ChangePb(seq=each.seq, body=dumps(each.body).encode())
            for each in batch.changes
        ],
    )


def unpack_batch(msg: LogBatch) -> Batch:
    """Return a batch from its wire form."""
    return Batch(
        log=msg.log,
        snapshot=loads(msg.snapshot) if msg.snapshot else None,
        snapshot_seq=msg.snapshot_seq,
        changes=tuple(
            Change(seq=each.seq, body=loads(each.body)) for each in msg.changes
        ),
    )

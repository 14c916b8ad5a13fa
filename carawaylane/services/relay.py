"""Replicas of the configuration and fleet logs, exchanged with peers.

A node that receives new changes pushes them to a few random peers. A node
that learns from a ping or a push that a peer is ahead pulls what it lacks.
"""

from __future__ import annotations

from asyncio import gather
from json import dumps, loads
from typing import TYPE_CHECKING

from carawaylane.config.state import ConfigState
from carawaylane.decisions.ownership.changelog import Batch, Change, LogReplica
from carawaylane.decisions.ownership.fleet import FleetState
from carawaylane.kernel.service import Actor, handles, service
from carawaylane.messages.logs import (
    ApplyBatch,
    ConfigChanged,
    FleetChanged,
    ReadBatch,
)
from carawaylane.rpc.node_pb2 import Change as ChangePb
from carawaylane.rpc.node_pb2 import LogBatch, PullRequest
from carawaylane.telemetry.events import (
    CHANGE_UNREADABLE,
    CONFIG_IN_FORCE,
    emit,
)

if TYPE_CHECKING:
    from carawaylane.kernel.kernel import Kernel

CONFIG_LOG = 'config'
FLEET_LOG = 'fleet'
# Random peers that a node pushes new changes to: some of its own data centre,
# some of any data centre.
SAME_DATA_CENTRE_FANOUT = 3
ANY_PEER_FANOUT = 1
PUSH_TIMEOUT_S = 1.0
PULL_TIMEOUT_S = 5.0


@service('relay')
class Relay(Actor):
    """Owns the replicas, which other services read and subscribe to."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.config = ConfigState()
        self.fleet = FleetState()
        self.replicas = {
            CONFIG_LOG: LogReplica(name=CONFIG_LOG, state=self.config),
            FLEET_LOG: LogReplica(name=FLEET_LOG, state=self.fleet),
        }
        self._config_subscribers: list[Actor] = []
        self._fleet_subscribers: list[Actor] = []
        self._logs_being_pulled: set[str] = set()

    def subscribe_config(self, actor: Actor) -> None:
        """Post ConfigChanged to an actor, now and at each change."""
        self._config_subscribers.append(actor)
        actor.post(ConfigChanged(seq=self.seq(CONFIG_LOG), changed=None))

    def subscribe_fleet(self, actor: Actor) -> None:
        """Post FleetChanged to an actor, now and at each change."""
        self._fleet_subscribers.append(actor)
        actor.post(FleetChanged(seq=self.seq(FLEET_LOG)))

    def seq(self, log: str) -> int:
        """Return the sequence number up to which a replica has advanced."""
        return self.replicas[log].seq

    def pull_if_behind(self, member: str, log: str, seq: int) -> None:
        """Pull changes from a member whose replica has advanced to `seq`.

        A log is pulled from one member at a time.
        """
        if seq > self.seq(log) and log not in self._logs_being_pulled:
            self._logs_being_pulled.add(log)
            self.spawn(self._pull_changes(member, log))

    @handles(ApplyBatch)
    def _apply_batch(self, msg: ApplyBatch) -> bool:
        replica = self.replicas[msg.batch.log]
        seq_before = replica.seq
        known = set(replica.unreadable)
        has_advanced = replica.apply_batch(msg.batch)
        for seq, reason in replica.unreadable.items():
            if seq not in known:
                emit(
                    CHANGE_UNREADABLE,
                    log=msg.batch.log,
                    seq=seq,
                    reason=reason,
                )
        if not has_advanced:
            return False
        has_snapshot = msg.batch.snapshot is not None
        snapshot_loaded = has_snapshot and msg.batch.snapshot_seq > seq_before
        self._notify_subscribers(msg.batch.log, seq_before, snapshot_loaded)
        self.spawn(self._push_batch(replica.batch_after(seq_before)))
        return True

    @handles(ReadBatch)
    def _read_batch(self, msg: ReadBatch) -> Batch:
        return self.replicas[msg.log].batch_after(msg.after)

    def _notify_subscribers(
        self, log: str, seq_before: int, snapshot_loaded: bool
    ) -> None:
        seq = self.seq(log)
        if log == FLEET_LOG:
            for actor in self._fleet_subscribers:
                actor.post(FleetChanged(seq=seq))
            return
        emit(CONFIG_IN_FORCE, seq=seq)
        changed = (
            None
            if snapshot_loaded
            else self._changed_documents(seq_before, seq)
        )
        for actor in self._config_subscribers:
            actor.post(ConfigChanged(seq=seq, changed=changed))

    def _changed_documents(
        self, seq_before: int, seq: int
    ) -> tuple[tuple[str, str], ...]:
        recent = self.replicas[CONFIG_LOG].recent
        document_keys: dict[tuple[str, str], None] = {}
        unreadable = self.replicas[CONFIG_LOG].unreadable
        for change_seq in range(seq_before + 1, seq + 1):
            if change_seq in unreadable:
                continue
            body = recent[change_seq].body
            for doc in body.get('put', ()):
                document_keys[(doc['kind'], doc['name'])] = None
            for kind, name in body.get('delete', ()):
                document_keys[(kind, name)] = None
        return tuple(document_keys)

    async def _push_batch(self, batch: Batch) -> None:
        peers = self.kernel.find('peers')
        members = self._choose_push_peers()
        packed = pack_batch(batch)
        await gather(
            *(
                peers.call(name, 'Push', packed, PUSH_TIMEOUT_S)
                for name in members
            )
        )

    def _choose_push_peers(self) -> list[str]:
        membership = self.kernel.find('membership')
        live_peers = membership.live_peers()
        data_centre = self.kernel.cfg.data_centre
        same_data_centre = [
            peer.name for peer in live_peers if peer.data_centre == data_centre
        ]
        rng = self.kernel.rng
        push_peers = rng.sample(
            same_data_centre,
            min(SAME_DATA_CENTRE_FANOUT, len(same_data_centre)),
        )
        other_peers = [
            peer.name for peer in live_peers if peer.name not in push_peers
        ]
        return push_peers + rng.sample(
            other_peers, min(ANY_PEER_FANOUT, len(other_peers))
        )

    async def _pull_changes(self, member: str, log: str) -> None:
        peers = self.kernel.find('peers')
        msg = PullRequest(log=log, after=self.seq(log))
        try:
            reply = await peers.call(member, 'Pull', msg, PULL_TIMEOUT_S)
        finally:
            self._logs_being_pulled.discard(log)
        batch = None if reply is None else unpack_batch(reply)
        if batch is not None:
            self.post(ApplyBatch(batch=batch))


def pack_batch(batch: Batch) -> LogBatch:
    """Encode a batch as a protobuf message."""
    snapshot = b''
    if batch.snapshot is not None:
        snapshot = dumps(batch.snapshot).encode()
    return LogBatch(
        log=batch.log,
        snapshot=snapshot,
        snapshot_seq=batch.snapshot_seq,
        changes=[
            ChangePb(seq=change.seq, body=dumps(change.body).encode())
            for change in batch.changes
        ],
    )


def unpack_batch(msg: LogBatch) -> Batch | None:
    """Return the batch in a message of a peer, None if it is malformed.

    A change that the peer could not send on is not one that can't be read:
    the next batch has it again.
    """
    if msg.log not in (CONFIG_LOG, FLEET_LOG):
        return None
    try:
        return Batch(
            log=msg.log,
            snapshot=loads(msg.snapshot) if msg.snapshot else None,
            snapshot_seq=msg.snapshot_seq,
            changes=tuple(
                Change(seq=change.seq, body=loads(change.body))
                for change in msg.changes
            ),
        )
    except (ValueError, RecursionError) as exc:
        emit(CHANGE_UNREADABLE, log=msg.log, seq=0, reason=type(exc).__name__)
        return None

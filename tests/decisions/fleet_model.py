"""A few nodes, callers, one target and a platform, in virtual time.

The nodes are made of the decision classes only. The model carries messages
in any order, loses them, pauses and kills nodes, and counts what runs. The
`flaw` of a world is a wrong variant that the machine must catch.
"""

from attrs import Factory, define

from carawaylane.decisions.changelog import Batch, Change, LogReplica
from carawaylane.decisions.fleet import FleetState
from carawaylane.decisions.journal import Fence, JournalState, Promise
from carawaylane.decisions.ledger import (
    InDoubt,
    Ledger,
    Refuse,
    Replay,
    Run,
    State,
    may_report_refusal,
)
from carawaylane.decisions.ownership import (
    ShardOwnership,
    generate_key,
    parse_generated_key,
)
from carawaylane.decisions.succession import (
    SuccessionWindows,
    apply_fleet_state,
    merge_promises,
    take_over_as_standby,
)
from carawaylane.messages.outcomes import Answered

SHARD = ('s', 0)
WINDOW_MS = 600_000
TIMEOUT_MS = 30_000
WINDOWS = SuccessionWindows(resend_ms=WINDOW_MS, gather_ms=1000)

TAKEOVER_BY_TIMEOUT = 'takeover by timeout'
NO_WITNESS = 'no witness'
NO_FENCE = 'promise without fence'
ANY_ENTRY = 'entries that the standby does not know'
LATE_REFUSAL = 'a refusal is told however late'
FORGET_REFUSALS = 'refusal does not outlast older attempts'


@define(kw_only=True)
class Job:
    """A key that an owner decided to run but has not sent yet."""

    key: str
    entry: str
    accepted_ms: int
    sent: bool = False


@define(kw_only=True)
class Msg:
    """A message under way; `kind` names the method of the receiver."""

    dst: str
    kind: str
    args: tuple


@define(kw_only=True)
class Node:
    """One incarnation of a node."""

    name: str
    host: str
    replica: LogReplica = Factory(
        lambda: LogReplica(name='fleet', state=FleetState())
    )
    journal: JournalState = Factory(
        lambda: JournalState(window_ms=WINDOW_MS, max_records=10_000)
    )
    ownership: ShardOwnership = None
    hint: tuple = ('', 0)
    alive: bool = True
    paused: bool = False
    jobs: list = Factory(list)
    closed: bool = False

    def __attrs_post_init__(self):
        self.ownership = ShardOwnership(
            node=self.name,
            shard=SHARD,
            ledger=Ledger(window_ms=WINDOW_MS, max_bytes=1 << 24),
        )

    @property
    def fleet(self):
        return self.replica.state

    @property
    def joined(self):
        return self.name in self.fleet.members

    @property
    def up(self):
        return self.alive and not self.paused

    def holding(self):
        held = self.fleet.holdings.get(SHARD)
        if held is None or self.hint[1] > held.epoch:
            return self.hint
        return held.owner, held.epoch


class World:
    """Everything that happens, and what must never happen."""

    def __init__(self, *, hosts=3, flaw=None):
        self.flaw = flaw
        self.now_ms = 1_000_000
        self.log = []
        self.platform_up = True
        self.nodes = {}
        self.msgs = []
        self.runs = {}
        self.told_not_run = {}
        self.sent_first = {}
        self.told = []
        self.hosts = [f'h{number}' for number in range(hosts)]
        self.incarnations = 0
        for host in self.hosts:
            self.start(host)
        for node in self.nodes.values():
            self.learn(node)

    # The platform.

    def append(self, ops):
        if not self.platform_up:
            return False
        change = Change(seq=len(self.log) + 1, body={'ops': ops})
        self.log.append(change)
        return True

    def learn(self, node, count=None):
        """Let a node's replica catch up, wholly or by `count` places."""
        end = len(self.log)
        if count is not None:
            end = min(end, node.replica.seq + count)
        node.replica.apply_batch(
            Batch(log='fleet', changes=tuple(self.log[:end]))
        )
        self.follow(node)

    def follow(self, node):
        apply_fleet_state(node.ownership, node.fleet, self.now_ms, WINDOWS)
        if self.flaw == TAKEOVER_BY_TIMEOUT:
            node.ownership.awaited_members.clear()

    # Lives of nodes.

    def start(self, host):
        self.incarnations += 1
        name = f'{host}@{self.incarnations}'
        oper = {
            'op': 'join',
            'member': name,
            'host': host,
            'data_centre': 'dc',
            'rpc': name,
            'at_ms': self.now_ms,
        }
        if not self.append([oper]):
            return None
        node = Node(name=name, host=host)
        self.nodes[name] = node
        self.learn(node)
        return node

    def kill(self, node):
        node.alive = False

    def evict(self, node):
        oper = {
            'op': 'evict',
            'member': node.name,
            'at_ms': self.now_ms,
            'window_ms': WINDOW_MS,
        }
        self.append([oper])

    def claim(self, node):
        held = node.fleet.holdings.get(SHARD)
        oper = {
            'op': 'claim',
            'service': SHARD[0],
            'shard': SHARD[1],
            'owner': node.name,
            'expect_epoch': held.epoch if held else 0,
        }
        self.append([oper])

    def name_standby(self, node, other):
        """The owner names a standby that has just told its place."""
        ownership = node.ownership
        held = node.fleet.holdings.get(SHARD)
        if held is None or held.owner != node.name:
            return
        if held.epoch != ownership.epoch or other is node or not other.joined:
            return
        if ownership.set_standby(
            other.name, other.replica.seq, node.replica.seq
        ):
            oper = {
                'op': 'standby',
                'service': SHARD[0],
                'shard': SHARD[1],
                'standby': other.name,
                'expect_epoch': ownership.epoch,
            }
            self.append([oper])

    def standby_tells(self, node):
        """The standby tells the owner how far it has read the log."""
        standby = self.nodes.get(node.ownership.standby)
        if standby is not None and standby.up:
            args = (standby.name, standby.replica.seq)
            self.post(node.name, 'standby_knows', *args)

    def on_standby_knows(self, node, member, seq):
        node.ownership.update_standby_seq(member, seq)

    def stand_in(self, node):
        """The standby takes over without the log."""
        if take_over_as_standby(
            node.ownership, node.fleet, self.now_ms, WINDOWS
        ):
            self.ask_promises(node)

    def ask_promises(self, node):
        ownership = node.ownership
        if not ownership.active or not ownership.awaited_members:
            return
        fence = Fence(epoch=ownership.epoch, successor=node.name)
        for member in sorted(node.fleet.members):
            if member == node.name:
                self.promise_reply(node, member, self.promise(node, fence))
            else:
                self.post(member, 'fence', node.name, fence)

    def leave(self, node):
        """A planned stop: hand over, leave the journal, go."""
        others = [
            each
            for each in self.nodes.values()
            if each.up and each is not node and each.joined
        ]
        if not others or node.jobs:
            return
        ownership = node.ownership
        if ownership.standby:
            limit = ownership.standby_seq
            others = [
                x for x in others if x.fleet.members[x.name].join_seq <= limit
            ]
            if not others:
                return
        heir = others[0]
        if ownership.is_owner() and not ownership.awaited_members:
            epoch = ownership.epoch + 1
            ownership.hand_over(successor=heir.name, epoch=epoch)
            node.hint = (heir.name, epoch)
            records = list(ownership.ledger.records.values())
            until_ms = ownership.unproven_until_ms
            self.post(heir.name, 'handover', epoch, records, until_ms)
        elif ownership.is_owner():
            return
        if self.forwards_of(node):
            return
        node.closed = True
        rows = [
            (shard, record)
            for (shard, _), record in node.journal.records.items()
        ]
        heir.journal.take_over(
            rows, [node.name, *node.journal.covered_members]
        )
        node.alive = False
        self.append([{'op': 'leave', 'member': node.name}])

    def owner(self):
        """The live node that last took the shard, if any."""
        state = FleetState()
        for change in self.log:
            state.apply(change)
        held = state.holdings.get(SHARD)
        node = self.nodes.get(held.owner) if held else None
        return node if node is not None and node.alive else None

    def forwards_of(self, node):
        """Whether attempts that the node forwarded are still open."""
        return any(
            attempts.open_count > 0
            for attempts in node.journal.attempts.values()
        )

    # The network.

    def post(self, dst, kind, *args):
        self.msgs.append(Msg(dst=dst, kind=kind, args=args))

    def deliver(self, msg):
        node = self.nodes.get(msg.dst)
        if node is None or not node.alive:
            self.msgs.remove(msg)
            return
        if node.paused:
            return
        self.msgs.remove(msg)
        getattr(self, 'on_' + msg.kind)(node, *msg.args)

    def deliver_promises(self, skip=()):
        """Deliver what successors ask and what they are promised."""
        for kind in ('fence', 'promised'):
            for msg in [x for x in self.msgs if x.kind == kind]:
                if msg.dst not in skip:
                    self.deliver(msg)

    def claimed_by(self, owner):
        """Let a node own the shard and all know it."""
        self.claim(owner)
        for node in self.nodes.values():
            self.learn(node)

    def take_over(self, heir):
        """Let a node claim the shard and ask for promises."""
        self.learn(heir)
        self.claim(heir)
        self.learn(heir)
        self.ask_promises(heir)

    # Callers and entries.

    def call(self, key, node):
        """A caller sends a key through a node, now or again."""
        first_ms = self.sent_first.setdefault(key, self.now_ms)
        if self.now_ms - first_ms > WINDOW_MS - 2 * TIMEOUT_MS:
            return
        owner, _ = node.holding()
        others = [
            name
            for name in sorted(node.fleet.members)
            if name not in (node.name, owner)
        ]
        # Entries choose a witness that they believe alive.
        others = [x for x in others if self.nodes[x].up] or others
        own = owner == node.name and self.flaw != NO_WITNESS
        if own or not node.joined:
            if others:
                witness = others[self.now_ms % len(others)]
                self.post(witness, 'entry', key, self.now_ms)
            return
        self.on_entry(node, key, self.now_ms)

    def advance_call(self, key, steps, what):
        """Take a call on: deliver, run, settle, reply."""
        for _ in range(steps):
            msgs = [
                each
                for each in self.msgs
                if each.kind in ('entry', 'forward', 'reply', 'moved')
                and each.args[0] == key
            ]
            if msgs:
                self.deliver(msgs[-1])
                continue
            self._advance_job(key, what)

    def _advance_job(self, key, what):
        for node in self.nodes.values():
            if not node.up:
                continue
            for job in [x for x in node.jobs if x.key == key]:
                if job.sent:
                    answer = 'Unknown' if what == 'Refuse' else what
                    self.settle(node, job, answer)
                elif what == 'Refuse':
                    self.settle(node, job, what)
                else:
                    self.execute(node, job)
                return

    def on_entry(self, node, key, accepted_ms):
        owner, epoch = node.holding()
        if not owner or node.closed or not node.joined:
            return
        if owner == node.name and self.flaw != NO_WITNESS:
            return
        if self.flaw != NO_FENCE and not node.journal.may_forward(
            SHARD, epoch, owner
        ):
            return
        if not node.journal.record_attempt(SHARD, key, self.now_ms):
            return
        self.post(owner, 'forward', key, epoch, node.name, accepted_ms)

    def on_forward(self, node, key, epoch, entry, accepted_ms):
        if self.flaw == NO_WITNESS and entry == node.name:
            entry_name = 'nobody'
        else:
            entry_name = entry
        verdict = node.ownership.admit_attempt(
            key=key,
            epoch=epoch,
            entry=entry_name,
            join_seq=self._join_seq(node, entry),
            accepted_ms=accepted_ms,
            now_ms=self.now_ms,
        )
        if self.flaw == FORGET_REFUSALS and isinstance(verdict, Refuse):
            verdict = Run()
        match verdict:
            case Run():
                job = Job(key=key, entry=entry, accepted_ms=accepted_ms)
                node.jobs.append(job)
            case Refuse(at_ms=at_ms):
                self.post(entry, 'reply', key, 'Refuse', at_ms)
            case Replay() | InDoubt():
                self.post(entry, 'reply', key, type(verdict).__name__)
            case _:
                hint = (
                    node.ownership.successor,
                    node.ownership.successor_epoch,
                )
                self.post(entry, 'moved', key, hint)

    def _join_seq(self, node, entry):
        member = node.fleet.members.get(entry)
        if self.flaw == ANY_ENTRY:
            return 0
        return member.join_seq if member else None

    def on_moved(self, node, key, hint):
        node.journal.cancel_attempt(SHARD, key)
        if hint[1] > node.holding()[1] and hint[0]:
            node.hint = hint

    def on_reply(self, node, key, what, refused_ms=0):
        match what:
            case 'Answered' | 'Replay':
                answer = Answered(status=200, body=key.encode())
                node.journal.record_answer(SHARD, key, answer, self.now_ms)
            case 'Refuse':
                node.journal.record_refusal(SHARD, key, self.now_ms)
                if self.flaw == LATE_REFUSAL or may_report_refusal(
                    refused_ms, self.now_ms
                ):
                    self.tell_not_run(key)
                else:
                    what = 'Unknown'
            case _:
                node.journal.record_unknown(SHARD, key)
        self.told.append((key, what))

    def tell_not_run(self, key):
        assert not self.runs.get(key), f'{key} ran, but "not run" was told'
        self.told_not_run[key] = self.now_ms

    def lose_reply(self, entry, key):
        node = self.nodes.get(entry)
        if node is not None and node.alive:
            node.journal.record_unknown(SHARD, key)

    # Owners and the target.

    def execute(self, node, job):
        """The owner sends a job to the target, which runs it."""
        job.sent = True
        if self.now_ms > job.accepted_ms + TIMEOUT_MS:
            self.settle(node, job, 'Refuse')
            return
        self.runs[job.key] = self.runs.get(job.key, 0) + 1
        assert self.runs[job.key] == 1, f'{job.key} ran twice'
        told_ms = self.told_not_run.get(job.key)
        assert told_ms is None or job.accepted_ms > told_ms, (
            f'{job.key} ran by an attempt older than its refusal'
        )

    def settle(self, node, job, what):
        """The owner learns how a job ended and tells its entry."""
        node.jobs.remove(job)
        ledger = node.ownership.ledger
        if what == 'Answered':
            answer = Answered(status=200, body=job.key.encode())
            ledger.record_answer(job.key, answer, self.now_ms)
        elif what == 'Refuse':
            ledger.record_refusal(job.key, self.now_ms)
        else:
            ledger.mark_in_doubt(job.key, self.now_ms)
        self.post(job.entry, 'reply', job.key, what, self.now_ms)

    def generate_key(self, node):
        owner, epoch = node.holding()
        if not owner:
            return None
        return generate_key(SHARD, epoch, f'm{len(self.sent_first)}')

    # Succession.

    def promise(self, node, fence):
        owned = Promise(promised=True)
        if fence.successor != node.name:
            owned = node.ownership.accept_fence(
                successor=fence.successor, epoch=fence.epoch
            )
            if not owned.promised:
                return owned
        mine = node.journal.make_promise(SHARD, fence, self.now_ms)
        return merge_promises(mine, owned)

    def on_fence(self, node, asker, fence):
        promise = self.promise(node, fence)
        self.post(asker, 'promised', node.name, fence.epoch, promise)

    def on_promised(self, node, member, epoch, promise):
        if node.ownership.epoch == epoch:
            self.promise_reply(node, member, promise)

    def promise_reply(self, node, member, promise):
        node.ownership.record_promise(member, promise)

    def on_handover(self, node, epoch, records, until_ms):
        if node.closed or not node.journal.may_forward(
            SHARD, epoch, node.name
        ):
            return
        done = node.ownership.accept_handover(
            epoch=epoch, records=records, unproven_until_ms=until_ms
        )
        if done:
            node.hint = (node.name, epoch)

    # Figures.

    def share(self, what):
        if not self.told:
            return 0.0
        return sum(each == what for _, each in self.told) / len(self.told)

    def running_records(self):
        return [
            record.key
            for node in self.nodes.values()
            for record in node.ownership.ledger.records.values()
            if record.state is State.RUNNING
        ]


def is_generated(key):
    """Return whether the fleet made the key."""
    return parse_generated_key(key) is not None

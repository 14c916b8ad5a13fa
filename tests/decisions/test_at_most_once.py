"""Unsafe requests run at most once, whatever happens to the nodes."""

import pytest
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from tests.decisions.fleet_model import (
    ANY_ENTRY,
    FORGET_REFUSALS,
    LATE_REFUSAL,
    NO_FENCE,
    NO_WITNESS,
    SHARD,
    TAKEOVER_BY_TIMEOUT,
    World,
)
from tests.decisions.scenarios import (
    entry_unknown_to_the_standby,
    evict_while_paused,
    late_refusal,
    take_over_from_paused_owner,
)

PICK = st.integers(min_value=0, max_value=1_000_000)
KEYS = 4


class FleetMachine(RuleBasedStateMachine):
    """Callers, nodes, the platform and faults in any order."""

    flaw = None

    @initialize()
    def begin(self):
        self.world = World(flaw=self.flaw)
        first = next(iter(self.world.nodes.values()))
        self.world.claimed_by(first)
        self.minted = []

    def nodes(self, *, up=True):
        found = list(self.world.nodes.values())
        return [x for x in found if x.alive and (x.up or not up)]

    def jobs(self, *, sent):
        return [
            (node, job)
            for node in self.nodes()
            for job in node.jobs
            if job.sent is sent
        ]

    def pick(self, found, number):
        return found[number % len(found)] if found else None

    @rule(number=PICK, key=st.integers(0, KEYS - 1))
    def call(self, number, key):
        node = self.pick(self.nodes(), number)
        if node is not None:
            self.world.call(f'key{key}', node)

    @rule(
        number=PICK,
        key=st.integers(0, KEYS - 1),
        steps=st.integers(0, 5),
        what=st.sampled_from(['Answered', 'Unknown', 'Refuse']),
    )
    def call_and_follow(self, number, key, steps, what):
        """The usual course of a call, cut off after some steps."""
        node = self.pick(self.nodes(), number)
        if node is not None:
            self.world.call(f'key{key}', node)
            self.world.advance_call(f'key{key}', steps, what)

    @rule(number=PICK)
    def call_minted(self, number):
        node = self.pick(self.nodes(), number)
        if node is None:
            return
        key = self.world.generate_key(node)
        if key is not None:
            self.minted.append(key)
            self.world.call(key, node)
            self.world.advance_call(key, number % 6, 'Answered')

    @precondition(lambda self: self.minted)
    @rule(number=PICK, which=PICK)
    def resend_minted(self, number, which):
        node = self.pick(self.nodes(), number)
        if node is not None:
            key = self.pick(self.minted, which)
            self.world.call(key, node)
            self.world.advance_call(key, which % 6, 'Answered')

    @rule(number=PICK)
    def deliver(self, number):
        msg = self.pick(self.world.msgs, number)
        if msg is not None:
            self.world.deliver(msg)

    @rule(count=st.integers(1, 30))
    def deliver_many(self, count):
        for msg in list(self.world.msgs)[:count]:
            if msg in self.world.msgs:
                self.world.deliver(msg)

    @rule(number=PICK)
    def drop(self, number):
        msg = self.pick(self.world.msgs, number)
        if msg is None:
            return
        self.world.msgs.remove(msg)
        if msg.kind == 'reply':
            self.world.lose_reply(msg.dst, msg.args[0])
        if msg.kind == 'forward':
            self.world.lose_reply(msg.args[2], msg.args[0])

    @rule(number=PICK)
    def execute(self, number):
        chosen = self.pick(self.jobs(sent=False), number)
        if chosen is not None:
            self.world.execute(*chosen)

    @rule(number=PICK, what=st.sampled_from(['Answered', 'Unknown']))
    def settle(self, number, what):
        chosen = self.pick(self.jobs(sent=True), number)
        if chosen is not None:
            self.world.settle(*chosen, what)

    @rule(number=PICK)
    def target_refuses(self, number):
        chosen = self.pick(self.jobs(sent=False), number)
        if chosen is not None:
            self.world.settle(*chosen, 'Refuse')

    @rule(number=PICK)
    def pause(self, number):
        node = self.pick(self.nodes(), number)
        if node is not None:
            node.paused = True

    @rule(number=PICK)
    def wake(self, number):
        paused = [x for x in self.nodes(up=False) if x.paused]
        node = self.pick(paused, number)
        if node is not None:
            node.paused = False

    @rule(number=PICK)
    def kill(self, number):
        node = self.pick(self.nodes(up=False), number)
        if node is not None and len(self.nodes(up=False)) > 1:
            self.world.kill(node)

    @rule(number=PICK)
    def restart(self, number):
        running = {x.host for x in self.nodes(up=False)}
        dead = [x for x in self.world.hosts if x not in running]
        host = self.pick(dead, number)
        if host is not None:
            self.world.start(host)

    @rule(number=PICK)
    def evict(self, number):
        gone = [x for x in self.world.nodes.values() if not x.alive]
        node = self.pick(gone, number)
        if node is not None:
            self.world.evict(node)

    @rule(number=PICK)
    def claim(self, number):
        node = self.pick(self.nodes(), number)
        if node is not None and node.joined:
            self.world.claim(node)

    @rule(number=PICK, count=st.integers(1, 3))
    def learn(self, number, count):
        node = self.pick(self.nodes(), number)
        if node is not None:
            self.world.learn(node, count)

    @rule(number=PICK)
    def take_over(self, number):
        """The usual course: claim, learn, ask all for promises."""
        node = self.pick(self.nodes(), number)
        if node is not None and node.joined:
            self.take_over_by(node)

    def take_over_by(self, node):
        self.world.take_over(node)

    @rule(number=PICK)
    def take_over_whole(self, number):
        """A takeover in which every live member promises at once."""
        self.take_over(number)
        self.world.deliver_promises()

    @rule(
        number=PICK,
        how=st.sampled_from(['kill', 'pause', 'cut']),
        learn=st.booleans(),
    )
    def owner_lost(self, number, how, learn):
        """The owner dies, pauses or is cut off; another takes over."""
        owner = self.world.owner()
        if owner is None or len(self.nodes(up=False)) < 2:
            return
        if how == 'kill':
            self.world.kill(owner)
        if how == 'pause':
            owner.paused = True
        others = [x for x in self.nodes() if x is not owner]
        heir = self.pick(others, number)
        if heir is None:
            return
        self.world.platform_up = True
        self.take_over_by(heir)
        self.world.deliver_promises((owner.name,))
        if learn:
            self.learn_all(0)

    @rule(number=PICK)
    def name_standby(self, number):
        owner = self.world.owner()
        other = self.pick(self.nodes(), number)
        if owner is not None and owner.up and other is not None:
            self.world.name_standby(owner, other)

    @rule()
    def standby_tells(self):
        owner = self.world.owner()
        if owner is not None and owner.up:
            self.world.standby_tells(owner)

    @rule(how=st.sampled_from(['kill', 'pause', 'cut']))
    def standby_takes_over(self, how):
        """The owner is lost to its standby, which can't reach the log."""
        owner = self.world.owner()
        if owner is None or len(self.nodes(up=False)) < 2:
            return
        standby = self.world.nodes.get(owner.ownership.standby)
        if standby is None or not standby.up:
            return
        if how == 'kill':
            self.world.kill(owner)
        if how == 'pause':
            owner.paused = True
        self.world.stand_in(standby)
        self.world.deliver_promises((owner.name,))
        if standby.ownership.is_owner():
            self.announce(standby, owner)

    def announce(self, standby, owner):
        epoch = standby.ownership.epoch
        for node in self.nodes():
            if node.holding()[1] < epoch and node is not owner:
                node.hint = (standby.name, epoch)

    @rule(number=PICK)
    def stand_in(self, number):
        node = self.pick(self.nodes(), number)
        if node is not None:
            self.world.stand_in(node)

    @rule(number=PICK)
    def learn_all(self, number):
        for node in self.nodes():
            self.world.learn(node)

    @rule()
    def wake_all(self):
        for node in self.nodes(up=False):
            node.paused = False

    @rule(number=PICK)
    def ask_promises(self, number):
        node = self.pick(self.nodes(), number)
        if node is not None:
            self.world.follow(node)
            self.world.ask_promises(node)

    @rule(number=PICK)
    def leave(self, number):
        node = self.pick(self.nodes(), number)
        if node is not None:
            self.world.leave(node)

    @rule(up=st.sampled_from([True, True, False]))
    def platform(self, up):
        self.world.platform_up = up

    @rule(ms=st.sampled_from([1, 300, 2000, 20_000, 200_000]))
    def advance(self, ms):
        self.world.now_ms += ms


def machine(flaw_name):
    """Return the machine for a wrong variant."""

    class Flawed(FleetMachine):
        flaw = flaw_name

    return Flawed


def test_no_order_of_events_runs_a_key_twice():
    run_state_machine_as_test(
        FleetMachine,
        settings=settings(
            max_examples=150,
            stateful_step_count=60,
            derandomize=True,
            deadline=None,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


@pytest.mark.parametrize(
    ('flaw', 'number'),
    [
        (TAKEOVER_BY_TIMEOUT, 1),
        (NO_WITNESS, 1),
        (FORGET_REFUSALS, 1),
    ],
)
def test_the_machine_catches_a_wrong_variant(flaw, number):
    with pytest.raises(AssertionError, match='ran'):
        run_state_machine_as_test(
            seed(number)(machine(flaw)),
            settings=settings(
                max_examples=4000,
                stateful_step_count=60,
                deadline=None,
                database=None,
                phases=[Phase.generate],
                suppress_health_check=list(HealthCheck),
            ),
        )


def test_a_promise_that_is_not_kept_would_run_a_key_twice():
    with pytest.raises(AssertionError, match='ran twice'):
        take_over_from_paused_owner(flaw=NO_FENCE)


def test_a_promise_keeps_an_old_owner_from_new_keys():
    assert take_over_from_paused_owner(flaw=None).runs == {'key': 1}


def test_eviction_of_a_paused_member_would_run_a_key_twice():
    with pytest.raises(AssertionError, match='ran twice'):
        evict_while_paused(dead=False)


def test_eviction_of_a_dead_member_is_safe():
    assert evict_while_paused(dead=True).runs == {'key': 1}


def test_a_refusal_told_however_late_would_be_false():
    with pytest.raises(AssertionError, match='"not run" was told'):
        late_refusal(flaw=LATE_REFUSAL)


def test_a_refusal_that_comes_late_is_not_told_as_not_run():
    world = late_refusal(flaw=None)
    assert world.told[-1] == ('key', 'Unknown')


def test_an_entry_unknown_to_the_standby_would_run_a_key_twice():
    with pytest.raises(AssertionError, match='ran twice'):
        entry_unknown_to_the_standby(flaw=ANY_ENTRY)


def test_a_standby_takes_over_without_the_platform():
    world = entry_unknown_to_the_standby(flaw=None)
    assert world.runs == {'key': 1}
    assert ('key', 'Answered') in world.told


def test_the_model_serves_when_nothing_fails():
    world = World()
    first, second, _ = world.nodes.values()
    world.claimed_by(first)
    world.call('key', second)
    world.deliver(world.msgs[0])
    job = first.jobs[0]
    world.execute(first, job)
    world.settle(first, job, 'Answered')
    world.deliver(world.msgs[0])
    assert world.told == [('key', 'Answered')]
    assert first.ownership.shard == SHARD

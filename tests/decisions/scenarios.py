"""Courses of events, with and without a flaw that they bring out."""

from tests.decisions.fleet_model import WINDOW_MS, World


def evict_while_paused(*, dead):
    """Two nodes live on apart from the fleet, one of them evicted."""
    world = World(hosts=4)
    owner, entry, heir, other = world.nodes.values()
    world.claimed_by(owner)
    owner.paused = entry.paused = True
    if dead:
        world.kill(entry)
    world.evict(entry)
    world.take_over(heir)
    for msg in list(world.msgs):
        world.deliver(msg)
    for msg in list(world.msgs):
        world.deliver(msg)
    owner.paused = entry.paused = False
    world.msgs = [x for x in world.msgs if x.dst == 'nobody']
    world.now_ms += WINDOW_MS // 2
    if entry.alive:
        world.call('key', entry)
        world.advance_call('key', 2, 'Answered')
    world.now_ms += WINDOW_MS // 2 + 1
    world.learn(other)
    world.call('key', other)
    world.advance_call('key', 4, 'Answered')
    return world


def take_over_from_paused_owner(*, flaw):
    """The owner sleeps through a takeover; an entry has an old view."""
    world = World(flaw=flaw)
    owner, entry, heir = world.nodes.values()
    world.claimed_by(owner)
    owner.paused = True
    world.claim(heir)
    world.learn(heir)
    world.ask_promises(heir)
    world.deliver_promises()
    owner.paused = False
    world.call('key', entry)
    world.advance_call('key', 4, 'Answered')
    world.learn(entry)
    world.call('key', entry)
    world.advance_call('key', 4, 'Answered')
    return world


def refusal_told_late(*, flaw):
    """A refusal is under way while a later attempt runs."""
    world = World(flaw=flaw)
    owner, entry, other = world.nodes.values()
    world.claimed_by(owner)
    world.call('key', entry)
    world.advance_call('key', 2, 'Refuse')
    refusal = world.msgs.pop()
    world.now_ms += 300
    world.call('key', other)
    world.advance_call('key', 4, 'Answered')
    world.msgs.append(refusal)
    world.deliver(refusal)
    return world


def entry_unknown_to_the_standby(*, flaw):
    """An entry joins that the standby does not hear of."""
    world = World(hosts=3, flaw=flaw)
    owner, standby, other = world.nodes.values()
    world.claimed_by(owner)
    world.name_standby(owner, standby)
    for node in world.nodes.values():
        world.learn(node)
    late = world.start('late')
    world.learn(owner)
    owner.paused = True
    world.stand_in(standby)
    world.deliver_promises()
    other.hint = (standby.name, standby.ownership.epoch)
    owner.paused = False
    world.call('key', late)
    world.advance_call('key', 4, 'Answered')
    world.call('key', other)
    world.advance_call('key', 4, 'Answered')
    return world

"""Scripted runs of the fleet model that make a known flaw visible.

Run with its flaw, a scenario makes the model assert; run without it, every
key runs at most once. Each returns its world.
"""

from tests.decisions.fleet_model import WINDOW_MS, World


def evict_while_paused(*, dead):
    """An entry is evicted while it and the owner are paused.

    The new owner asks an evicted entry for no promise. If the entry was only
    paused (`dead` is False), it then forwards a key to the old owner, which
    runs it. After the resend window the new owner runs the key again.
    """
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
    # All messages still in flight are lost.
    world.msgs = [msg for msg in world.msgs if msg.dst == 'nobody']
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
    """A takeover happens while the owner is paused.

    Afterwards an entry that has not read of it routes a key to the old owner,
    then, once it has, to the new owner. The key would run twice if the entry
    did not keep its promise to forward nothing to the old owner.
    """
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


def late_refusal(*, flaw):
    """A refusal reaches its entry after a later attempt has run the key.

    The entry must not report "not run" to the caller of the first attempt.
    """
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
    """An entry joins that the standby does not know when it takes over.

    The standby gets no promise from that entry, so the entry may still
    forward a key to the old owner.
    """
    world = World(hosts=3, flaw=flaw)
    owner, standby, other = world.nodes.values()
    world.claimed_by(owner)
    world.name_standby(owner, standby)
    for node in world.nodes.values():
        world.learn(node)
    new_entry = world.start('late')
    world.learn(owner)
    owner.paused = True
    world.stand_in(standby)
    world.deliver_promises()
    other.hint = (standby.name, standby.ownership.epoch)
    owner.paused = False
    world.call('key', new_entry)
    world.advance_call('key', 4, 'Answered')
    world.call('key', other)
    world.advance_call('key', 4, 'Answered')
    return world

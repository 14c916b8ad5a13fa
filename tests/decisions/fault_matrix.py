"""Every fault at every step of an exchange, one cell at a time."""

from attrs import define

from tests.decisions.fleet_model import World

KEY = 'key'
STEPS = {
    'before routing': 0,
    'after the journal': 1,
    'after the record, before sending': 2,
    'while the target runs it': 3,
    'while the answer flows back': 4,
    'after the answer': 5,
}
FAULTS = {}


@define(kw_only=True)
class Cell:
    """What a caller was told before and after the fault."""

    first: str
    resend: str
    runs: int


def fault(name):
    """Register a fault: a function of the world and three nodes."""

    def register(func):
        FAULTS[name] = func
        return func

    return register


def run_cell(fault_name, step):
    """Run one cell; the model asserts that the promises hold."""
    world = World(hosts=5)
    owner, entry, heir, other, _ = world.nodes.values()
    world.claimed_by(owner)
    if step:
        world.call(KEY, entry)
        world.advance_call(KEY, step - 1, 'Answered')
    FAULTS[fault_name](world, owner, entry, heir)
    first = _told(world, 0)
    before = len(world.told)
    world.now_ms += 1500
    world.call(KEY, other)
    world.advance_call(KEY, 8, 'Answered')
    _wake(world)
    return Cell(
        first=first,
        resend=_told(world, before),
        runs=world.runs.get(KEY, 0),
    )


def _told(world, start):
    told = [what for key, what in world.told[start:] if key == KEY]
    return told[-1] if told else 'nothing yet'


def _wake(world):
    """Let the paused go on: what they still hold is sent now."""
    for node in world.nodes.values():
        node.paused = False
    for _ in range(3):
        for msg in list(world.msgs):
            if msg in world.msgs:
                world.deliver(msg)
        for node in world.nodes.values():
            for job in list(node.jobs):
                if node.alive and not job.sent:
                    world.execute(node, job)


def _take_over(world, heir, skip=()):
    world.take_over(heir)
    world.deliver_promises(skip)
    for node in world.nodes.values():
        if node.up and node.name not in skip:
            world.learn(node)


@fault('none')
def _none(world, owner, entry, heir):
    return


@fault('entry killed')
def _entry_killed(world, owner, entry, heir):
    world.kill(entry)
    world.evict(entry)


@fault('owner killed')
def _owner_killed(world, owner, entry, heir):
    world.kill(owner)
    _take_over(world, heir)


@fault('owner paused, later woken')
def _owner_paused(world, owner, entry, heir):
    owner.paused = True
    _take_over(world, heir)


@fault('owner cut off, hears but is not heard')
def _owner_cut(world, owner, entry, heir):
    world.msgs = [x for x in world.msgs if x.kind != 'reply']
    _take_over(world, heir, skip=(owner.name,))


@fault('entry has an older view')
def _older_view(world, owner, entry, heir):
    owner.paused = True
    _take_over(world, heir, skip=(entry.name, owner.name))
    world.deliver_promises((owner.name,))


@fault('entry and owner killed')
def _both_killed(world, owner, entry, heir):
    world.kill(owner)
    world.kill(entry)
    world.evict(entry)
    _take_over(world, heir)


@fault('messages under way lost')
def _lost(world, owner, entry, heir):
    world.msgs = []


@fault('owner killed, platform out, then back')
def _outage(world, owner, entry, heir):
    world.platform_up = False
    world.kill(owner)
    _take_over(world, heir)
    world.call(KEY, heir)
    world.advance_call(KEY, 8, 'Answered')
    world.platform_up = True
    _take_over(world, heir)


@fault('owner killed in an outage, standby takes over')
def _stood_in(world, owner, entry, heir):
    world.name_standby(owner, heir)
    world.learn(heir)
    world.platform_up = False
    world.kill(owner)
    world.stand_in(heir)
    world.deliver_promises()
    for node in world.nodes.values():
        node.hint = (heir.name, heir.ownership.epoch)


@fault('two claims race, one answer lost')
def _race(world, owner, entry, heir):
    world.kill(owner)
    world.claim(entry)
    world.claim(heir)
    _take_over(world, heir)


@fault('owner restarted at once')
def _restarted(world, owner, entry, heir):
    world.kill(owner)
    fresh = world.start(owner.host)
    _take_over(world, fresh)


@fault('owner stops as planned')
def _planned(world, owner, entry, heir):
    world.advance_call(KEY, 5, 'Answered')
    world.leave(owner)
    for msg in [x for x in world.msgs if x.kind == 'handover']:
        world.deliver(msg)
    holder = next(x for x in world.nodes.values() if x.ownership.is_owner())
    for node in world.nodes.values():
        node.hint = (holder.name, holder.ownership.epoch)


@fault('every node replaced in turn')
def _rolling(world, owner, entry, heir):
    world.advance_call(KEY, 5, 'Answered')
    for node in [owner, entry]:
        world.start(f'new{node.host}')
        for each in world.nodes.values():
            world.learn(each)
        _planned(world, node, entry, heir)

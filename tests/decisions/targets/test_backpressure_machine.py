"""Interleavings of answers that ask for no more requests."""

from attrs import frozen
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from carawaylane.decisions.placement.failure_estimate import Result
from carawaylane.decisions.targets.backpressure import (
    NEWS_S,
    HeardBackpressure,
    TargetIdentity,
)
from carawaylane.messages.dispatch import Grant, Queued
from carawaylane.messages.outcomes import Backpressure
from tests.decisions.targets.backpressure_cases import (
    NAMES,
    ask,
    make_home,
    spec,
)

ENTRIES = ('e0', 'e1', 'e2')
HOMES = ('h0', 'h1')
MS = 1000


@frozen(kw_only=True)
class Sent:
    """A request in flight, and the start of its target that an entry knew."""

    ticket: tuple[str, int]
    entry: str
    home: str
    name: str
    at_s: float
    known_ms: int
    started_ms: int


class Sends(RuleBasedStateMachine):
    """Entries, homes and targets; every send is checked against the rules.

    Targets leave, pause single entries, and restart under their name, also on
    hosts whose clocks are wrong. Homes restart, and results get lost. The list
    of targets that entries and homes see may be old: a restart is known to
    each of them later, and answers of an earlier start may come late.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 1.0
        self.started_ms = dict.fromkeys(NAMES, 100)
        # Targets that leave, by name and start.
        self.leaving = set()
        self.known_ms = {
            (node, name): 100 for node in ENTRIES + HOMES for name in NAMES
        }
        self.heard = {entry: HeardBackpressure() for entry in ENTRIES}
        self.homes = {name: make_home() for name in HOMES}
        # By entry, target and incarnation: what the entry was told.
        self.told_leaving = set()
        self.told_pause_s = {}
        # Names and starts that an entry took for leaving.
        self.told_starts = set()
        # By entry and target: the times of the last wish, by both clocks.
        self.last_told = {}
        self.in_flight = []
        self.numbers = 0

    def now_ms(self):
        return int(self.now_s * MS)

    @rule(step_s=st.one_of(st.floats(0.01, 1.5), st.just(NEWS_S + 1.0)))
    def wait(self, step_s):
        self.now_s += step_s

    @rule(name=st.sampled_from(NAMES))
    def leave(self, name):
        self.leaving.add((name, self.started_ms[name]))

    @rule(
        name=st.sampled_from(NAMES),
        clock_ms=st.sampled_from([0, 0, -10, -5000, -(10**6), 5000]),
        breaks=st.booleans(),
    )
    def restart(self, name, clock_ms, breaks):
        self.now_s += 0.01
        self.started_ms[name] = self.now_ms() + clock_ms
        if breaks:
            self.in_flight = [
                sent for sent in self.in_flight if sent.name != name
            ]

    @rule(node=st.sampled_from(ENTRIES + HOMES), name=st.sampled_from(NAMES))
    def learn_of_restart(self, node, name):
        self.known_ms[node, name] = self.started_ms[name]
        if node in HOMES:
            self.update_home(node)

    @rule(home=st.sampled_from(HOMES))
    def restart_home(self, home):
        self.homes[home] = make_home()
        self.update_home(home)
        for heard in self.heard.values():
            heard.forget_reports_to(home)

    def update_home(self, home):
        self.homes[home].update_targets(
            [
                spec(name, started_ms=self.known_ms[home, name])
                for name in NAMES
            ],
            self.now_s,
        )

    @rule(entry=st.sampled_from(ENTRIES), home=st.sampled_from(HOMES))
    def request(self, entry, home):
        self.numbers += 1
        reply = self.homes[home].request_slot(
            ask(
                self.numbers,
                entry=entry,
                notices=self.heard[entry].report_to(home, self.now_s, 's'),
            ),
            self.now_s,
        )
        if isinstance(reply, Queued):
            self.homes[home].cancel_queued((entry, self.numbers))
        if not isinstance(reply, Grant):
            return
        name = reply.target
        if self.heard[entry].withheld(
            name, self.known_ms[entry, name], self.now_s
        ):
            self.homes[home].record_result(
                reply.ticket, Result.UNUSED, 0.0, self.now_s
            )
            return
        self.check_send(entry, name)
        self.in_flight.append(
            Sent(
                ticket=reply.ticket,
                entry=entry,
                home=home,
                name=name,
                at_s=self.now_s,
                known_ms=self.known_ms[entry, name],
                started_ms=self.started_ms[name],
            )
        )

    def check_send(self, entry, name):
        incarnation = (entry, name, self.started_ms[name])
        assert incarnation not in self.told_leaving
        assert self.now_s >= self.told_pause_s.get(incarnation, 0.0)

    @precondition(lambda self: self.in_flight)
    @rule(
        pause_s=st.sampled_from([0.0, 0.0, 1.0, 5.0]),
        lost=st.booleans(),
        index=st.integers(0, 100),
    )
    def answer(self, pause_s, lost, index):
        sent = self.in_flight.pop(index % len(self.in_flight))
        leaving = (sent.name, sent.started_ms) in self.leaving
        is_newest = sent.known_ms == self.known_ms[sent.entry, sent.name]
        notice = self.heard[sent.entry].record_answer(
            TargetIdentity(
                name=sent.name,
                service='s',
                started_ms=sent.known_ms,
                now_ms=self.now_ms() if is_newest else 0,
            ),
            Backpressure(pause_s=pause_s, leaving=leaving),
            sent.at_s,
            self.now_s,
        )
        if leaving:
            self.told_starts.add((sent.name, sent.known_ms))
        self.record_told(sent, leaving, pause_s)
        if lost:
            return
        home = self.homes[sent.home]
        if notice is not None:
            home.pool.apply_notice(notice, sent.entry, self.now_s)
        home.record_result(
            sent.ticket, Result.ANSWERED, self.now_s - sent.at_s, self.now_s
        )

    def record_told(self, sent, leaving, pause_s):
        """Record what an entry was told, and until when it must keep to it.

        One that did not know yet that the target had restarted keeps to it
        for as long as the news of that may take.
        """
        if not (leaving or pause_s):
            return
        self.last_told[sent.entry, sent.name] = self.now_s, self.now_ms()
        incarnation = (sent.entry, sent.name, sent.started_ms)
        end_s = float('inf') if leaving else self.now_s + pause_s
        if sent.known_ms != sent.started_ms:
            end_s = min(end_s, self.now_s + NEWS_S)
            if (
                sent.known_ms != self.known_ms[sent.entry, sent.name]
                or sent.started_ms > self.now_ms()
            ):
                end_s = 0.0
        elif leaving:
            self.told_leaving.add(incarnation)
        self.told_pause_s[incarnation] = max(
            self.told_pause_s.get(incarnation, 0.0), end_s
        )

    @invariant()
    def a_restarted_target_is_used_again(self):
        """Once an entry knows of the restart, nothing old is held."""
        for entry in ENTRIES:
            for name in NAMES:
                known_ms = self.known_ms[entry, name]
                incarnation = (entry, name, known_ms)
                told_s, told_ms = self.last_told.get((entry, name), (0, 0))
                if known_ms != self.started_ms[name] or (
                    # By its clock, it may have said so.
                    known_ms <= told_ms and self.now_s < told_s + NEWS_S
                ):
                    continue
                if (
                    incarnation not in self.told_leaving
                    and self.now_s >= self.told_pause_s.get(incarnation, 0.0)
                ):
                    assert not self.heard[entry].withheld(
                        name, known_ms, self.now_s
                    )

    @invariant()
    def a_home_withholds_only_what_has_left(self):
        for name in HOMES:
            for target in self.homes[name].pool.targets.values():
                if target.leaving:
                    start = target.spec.name, target.spec.started_ms
                    assert start in self.leaving | self.told_starts


TestSends = Sends.TestCase
TestSends.settings = settings(
    max_examples=100, stateful_step_count=60, deadline=None
)

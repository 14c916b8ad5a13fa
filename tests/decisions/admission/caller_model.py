"""Callers that come back after refusals, and a home, in virtual time.

Customers' requests arrive as a list that is the same for all decisions. A
caller honours Retry-After up to a third of the time that it has left, comes
back at another entry, and gives up after `tries`.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from math import log
from random import Random
from typing import Any

from attrs import Factory, define, evolve, frozen

from carawaylane.decisions.admission.dispatcher import Dispatcher
from carawaylane.decisions.admission.retry_window import RetryWindow
from carawaylane.decisions.admission.sent_requests import SentRequests
from carawaylane.decisions.placement.failure_estimate import Result
from carawaylane.gateway.attempts import ALL_SHED_RETRY_AFTER_S
from carawaylane.messages.dispatch import (
    AttemptKind,
    Grant,
    Refusal,
    SlotRequest,
)
from carawaylane.messages.platform_objects import TargetSpec
from carawaylane.settings.gateway import Bounds

QUEUE_PERIOD_S = 0.02
# A caller's new connection and request, over 8 ms one way.
ROUND_TRIP_S = 0.032
# A target that sheds answers after this time.
SHED_S = 0.006
WORK_SIGMA = 0.6


@frozen(kw_only=True)
class RequestClass:
    name: str
    rate_per_s: Callable[[float], float]
    work_s: float
    objective_s: float
    deadline_s: float
    values: tuple[float, float] = (1.0, 0.1)
    priority: int = 1
    idempotent: bool = False
    # Share of each customer in the rate, at a time.
    customers: Callable[[float], dict[str, float]] = lambda _: {'': 1.0}


@define(kw_only=True, eq=False)
class Call:
    kind: RequestClass
    customer: str
    at_s: float
    work_s: float
    tries: int = 0
    # When it first reached a node that runs.
    came_s: float | None = None
    targets: frozenset[str] = frozenset()
    entry: str = ''
    ended_s: float | None = None

    def value(self) -> float:
        if self.ended_s is None:
            return 0.0
        in_time = self.ended_s - self.at_s <= self.kind.objective_s
        return self.kind.values[0 if in_time else 1]


def draw_calls(kinds, until_s, seed, step_s=0.01) -> list[Call]:
    """Return the calls of some request classes, by time."""
    rng = Random(seed)
    calls = []
    for kind in kinds:
        now_s = 0.0
        median = log(kind.work_s) - WORK_SIGMA**2 / 2
        while now_s < until_s:
            now_s += rng.expovariate(kind.rate_per_s(now_s))
            shares = kind.customers(now_s)
            [customer] = rng.choices(list(shares), list(shares.values()))
            work_s = rng.lognormvariate(median, WORK_SIGMA)
            work_s *= rng.uniform(3, 5) if rng.random() < 0.01 else 1
            calls.append(
                Call(kind=kind, customer=customer, at_s=now_s, work_s=work_s)
            )
    return sorted(calls, key=lambda call: call.at_s)


@define(kw_only=True, slots=False)
class World:
    """Homes of one service, its entries and targets, and the callers."""

    calls: list[Call]
    targets: int
    slots: int
    slack: int
    entries: int = 37
    tries: int = 3
    # Whether callers give up whose Retry-After is longer than they wait.
    gives_up: bool = False
    max_attempts: int = 2
    shed_share: Callable[[float, int], float] = lambda now_s, target: 0.0
    seed: int = 1
    # Requests that wait at a target at most; it sheds others.
    target_queue: int | None = None
    # Weights of customers; None for the decisions without customers.
    weights: dict[str, float] | None = None
    # Whether entries tell a new home what they have in flight.
    reports: bool = True
    # The home that an entry asks at a time; None for the latest one.
    choose_home: Callable[[str, float], str] | None = None
    events: list[Any] = Factory(list)
    refusals: dict[str, int] = Factory(lambda: defaultdict(int))
    retry_times_s: list[float] = Factory(list)
    first_times_s: list[float] = Factory(list)

    def __attrs_post_init__(self) -> None:
        self._rng = Random(self.seed)
        self._order = count()
        self._numbers = count(1)
        self._waiting = {}
        # Requests that wait for a reply of the home.
        self._queued = {}
        self._windows = defaultdict(lambda: RetryWindow(window_s=10.0))
        self._sent = defaultdict(SentRequests)
        self._powered_at_s = self._lost_before_s = 0.0
        # When each worker of a target is free; targets keep this.
        self._free_at_s = [[0.0] * self.slots for _ in range(self.targets)]
        # Requests at each target, waiting or not, and the most at all of them.
        self.held = [0] * self.targets
        self.most_held = 0
        self.homes = {}
        self.add_home('home')

    @property
    def home(self) -> Dispatcher:
        return self.homes[self._home_name]

    def add_home(self, name: str, now_s: float = 0.0) -> None:
        self.homes[name] = self.new_home(now_s)
        self._home_name = name

    def new_home(self, now_s: float = 0.0) -> Dispatcher:
        home = Dispatcher(
            service='s',
            bounds=Bounds(retry_slack=self.slack),
            rng=Random(f'{self.seed} {len(self.homes)}')
            if self.homes
            else Random(self.seed),
        )
        home.set_weights(self.weights)
        home.retry_budget.members = self.entries
        home.update_targets(
            [
                TargetSpec(
                    name=f't{number}',
                    service='s',
                    address='a:1',
                    data_centre='a',
                    slots=self.slots,
                    draining=False,
                )
                for number in range(self.targets)
            ],
            now_s,
        )
        return home

    def at(self, now_s: float, func: Any, *args: Any) -> None:
        heappush(self.events, (now_s, next(self._order), func, args))

    def run(self) -> World:
        for call in self.calls:
            self.at(call.at_s, self._come, call)
        self.at(0.0, self._serve)
        self._end_s = self.calls[-1].at_s + 10
        while self.events:
            now_s, _, func, args = heappop(self.events)
            func(now_s, *args)
        return self

    def _come(self, now_s: float, call: Call) -> None:
        if now_s < self._powered_at_s:
            # Callers try to connect until a node listens.
            back_s = self._powered_at_s + self._rng.uniform(0.05, 0.3)
            self.at(back_s, self._come, call)
            return
        if call.came_s is None:
            call.came_s = now_s
        call.tries += 1
        call.targets = frozenset()
        call.entry = f'e{self._rng.randrange(self.entries)}'
        self._ask(now_s, call, AttemptKind.FIRST)

    def _ask(self, now_s: float, call: Call, kind: AttemptKind) -> None:
        home = self._home_name
        if self.choose_home is not None:
            home = self.choose_home(call.entry, now_s)
        window = self._windows[call.entry]
        reported = self._sent[call.entry].report_to('s', home, now_s)
        request = SlotRequest(
            ticket=(call.entry, next(self._numbers)),
            data_centre='a',
            route=call.kind.name,
            priority=call.kind.priority,
            idempotent=call.kind.idempotent,
            left_s=call.at_s + call.kind.deadline_s - now_s,
            objective_s=call.kind.objective_s,
            attempt=kind,
            avoided_targets=call.targets,
            customer=call.customer,
            recent_attempts=window.report_to(home, now_s),
            in_flight=reported if self.reports else (),
        )
        if kind is AttemptKind.FIRST:
            window.record_first_attempt(home, now_s)
            self.first_times_s.append(now_s)
        self._waiting[request.ticket] = (call, kind, home, request)
        self._queued[request.ticket] = (call, kind)
        self._reply(now_s, self.homes[home].request_slot(request, now_s))

    def _serve(self, now_s: float) -> None:
        if now_s < self._powered_at_s:
            self.at(self._powered_at_s, self._serve)
            return
        for home in list(self.homes.values()):
            for _, reply in home.serve_queue(now_s):
                self._reply(now_s, reply)
        if now_s < self._end_s:
            self.at(now_s + QUEUE_PERIOD_S, self._serve)

    def _reply(self, now_s: float, reply: Any) -> None:
        call, kind, home, request = self._waiting[reply.ticket]
        if isinstance(reply, Grant | Refusal):
            self._queued.pop(reply.ticket, None)
        if isinstance(reply, Refusal):
            self.refusals[reply.reason] += 1
            self._refused(now_s, call, reply.retry_after_s)
        elif isinstance(reply, Grant):
            if kind.is_retry:
                self._windows[call.entry].record_retry(home, now_s)
                self.retry_times_s.append(now_s)
            call.targets |= {reply.target}
            self._sent[call.entry].record_sent(
                's', request, reply.target, home, now_s
            )
            shed = self._rng.random() < self.shed_share(
                now_s, int(reply.target[1:])
            )
            took_s = SHED_S
            workers = self._free_at_s[int(reply.target[1:])]
            held = self.held[int(reply.target[1:])]
            shed = shed or (
                self.target_queue is not None
                and held >= self.slots + self.target_queue
            )
            if not shed:
                self.held[int(reply.target[1:])] += 1
                self.most_held = max(self.most_held, sum(self.held))
                ended_s = max(now_s, heappop(workers)) + call.work_s
                heappush(workers, ended_s)
                took_s = ended_s - now_s
            self.at(now_s + took_s, self._end, call, reply, took_s, shed)

    def take_over(self, now_s: float) -> None:
        """Replace the home; its entries ask the next one."""
        lost = self._home_name
        del self.homes[lost]
        self.add_home(f'home-{now_s}', now_s)
        for sent in self._sent.values() if self.reports else ():
            for request in sent.forget_home(lost).values():
                report = evolve(
                    request,
                    ticket=(request.entry, next(self._numbers)),
                    left_s=0.0,
                    recent_attempts=self._windows[request.entry].report_to(
                        self._home_name, now_s
                    ),
                    in_flight=sent.report_to('s', self._home_name, now_s),
                )
                self.home.request_slot(report, now_s)
        queued, self._queued = self._queued, {}
        for call, kind in queued.values():
            self._ask(now_s, call, kind)

    def lose_power(self, now_s: float, for_s: float) -> None:
        """Let all nodes restart; targets keep on working."""
        self._powered_at_s = now_s + for_s
        self.homes = {}
        self.add_home('home', self._powered_at_s)
        self._queued.clear()
        self._windows.clear()
        self._sent.clear()
        self._lost_before_s = now_s

    def _end(self, now_s, call, grant, took_s, shed) -> None:
        if not shed:
            self.held[int(grant.target[1:])] -= 1
        if now_s - took_s < self._lost_before_s:
            return
        result = Result.SHED if shed else Result.ANSWERED
        told = self._sent[call.entry].record_ended('s', grant.ticket)
        for name in (self._waiting[grant.ticket][2], *told):
            if (home := self.homes.get(name)) is None:
                continue
            home.record_result(grant.ticket, result, took_s, now_s)
            for _, reply in home.serve_queue(now_s, refuses_late=False):
                self._reply(now_s, reply)
        if not shed:
            if now_s <= call.at_s + call.kind.deadline_s:
                call.ended_s = now_s
        elif len(call.targets) < self.max_attempts:
            self._ask(now_s, call, AttemptKind.REPEAT)
        else:
            self.refusals['targets refused it'] += 1
            self._refused(now_s, call, ALL_SHED_RETRY_AFTER_S)

    def _refused(self, now_s: float, call: Call, retry_after_s: float) -> None:
        left_s = call.at_s + call.kind.deadline_s - now_s
        if self.gives_up and retry_after_s > left_s / 3:
            return
        delay_s = ROUND_TRIP_S + min(retry_after_s, left_s / 3)
        if call.tries < self.tries and left_s > delay_s:
            self.at(now_s + delay_s, self._come, call)

    def served(self, since_s=0.0, until_s=1e9, **match) -> float:
        """Return the served share of the calls of a time."""
        chosen = self.chosen(since_s, until_s, **match)
        return sum(call.ended_s is not None for call in chosen) / len(chosen)

    def credit(self, since_s=0.0, until_s=1e9, **match) -> float:
        """Return the value earned over the value possible."""
        chosen = self.chosen(since_s, until_s, **match)
        return sum(call.value() for call in chosen) / sum(
            call.kind.values[0] for call in chosen
        )

    def chosen(self, since_s, until_s, kind=None, customer=None) -> list[Call]:
        return [
            call
            for call in self.calls
            if since_s <= call.at_s < until_s
            and kind in (None, call.kind.name)
            and customer in (None, call.customer)
        ]

"""Tests of the token buckets of a quota home."""

import pytest

from carawaylane.decisions.customers.admission_wait import AdmissionWait
from carawaylane.decisions.customers.quota_bounds import QuotaBounds
from carawaylane.decisions.customers.quota_home import (
    LOAN_S,
    QuotaHome,
)
from carawaylane.messages.quotas import (
    Admitted,
    Limits,
    Loan,
    OverQuota,
    QuotaAsk,
    QuotaReturn,
    Stamp,
    UnknownCustomer,
    Waited,
)

BOUNDS = QuotaBounds(window_s=5.0, overshoot=0.1, slack=20)
LIMITS = Limits(rate_per_s=10.0, burst=20.0)
# Capacity of a bucket: the burst and a part of the slack, 0.15 x 27.
CAPACITY = 24


class Home:
    """A home of one customer, and the only entry, which renews its loan."""

    def __init__(self, members=('e',)):
        self.now_s = 100.0
        self.home = QuotaHome(run=1, bounds=BOUNDS, now_s=self.now_s)
        self.home.update_members(frozenset(members), self.now_s)
        self.home.update_limits({'c': LIMITS}, self.now_s)

    def ask(
        self, customer='c', entry='e', echo_age_s=0.0, delay_s=0.0, **changes
    ):
        echo = Stamp(run=1, at_ms=int((self.now_s - echo_age_s) * 1000))
        ask = QuotaAsk(
            ticket=1,
            shard='0/1',
            loan=Loan(echo=echo, delay_s=delay_s),
            customer=customer,
            **changes,
        )
        return self.home.decide(entry, ask, self.now_s)

    def wait(self, duration_s):
        for _ in range(round(duration_s * 10)):
            self.now_s += 0.1
            self.ask('')

    def admitted(self, count):
        return sum(isinstance(self.ask(), Admitted) for _ in range(count))


def test_a_bucket_starts_empty_and_fills_to_its_capacity():
    home = Home()
    assert home.admitted(5) == 0
    home.wait(1.0)
    assert home.admitted(50) in (9, 10)
    home.wait(20.0)
    assert home.admitted(50) == CAPACITY


def test_a_late_echo_does_not_extend_a_loan():
    """Guards against messages that waited at a paused home."""
    home = Home()
    home.wait(3.0)
    home.now_s += LOAN_S + 0.1
    for _ in range(5):
        assert isinstance(home.ask(echo_age_s=LOAN_S + 0.1), OverQuota)
    assert home.home.share() == 0


def test_a_right_that_comes_back_is_not_used_before_its_delay():
    """Guards against a right that two homes use at the same time.

    The entry lent it to another home, and lends it to this one again while
    the first loan still runs.
    """
    home = Home()
    home.wait(1.0)
    home.now_s += 0.5
    home.ask('', delay_s=0.9)
    assert home.home.share() == 1
    for delay_s in (0.5, 0.1):
        home.now_s += 0.4
        home.ask('', delay_s=delay_s)
        assert home.home.share() == 0
    home.now_s += 0.2
    home.ask('')
    assert home.home.share() == 1


def test_a_token_returns_unless_the_bucket_was_full_since():
    """Guards against tokens that exceed the burst when they come back."""
    home = Home()
    home.wait(10.0)
    assert home.admitted(10) == 10
    token = QuotaReturn(
        shard='0/1', customer='c', admitted_at=home.home.stamp()
    )
    assert home.home.take_back(token, home.now_s)
    home.wait(10.0)
    assert not home.home.take_back(token, home.now_s)
    assert home.admitted(50) == CAPACITY
    assert not home.home.take_back(
        QuotaReturn(
            shard='0/1', customer='c', admitted_at=Stamp(run=2, at_ms=10**9)
        ),
        home.now_s,
    )


def test_a_lower_burst_scales_the_level_down_and_a_higher_one_not_up():
    home = Home()
    home.wait(10.0)
    home.home.update_limits(
        {'c': Limits(rate_per_s=10.0, burst=200.0)}, home.now_s
    )
    assert home.admitted(100) == CAPACITY
    home.wait(2.0)
    home.home.update_limits(
        {'c': Limits(rate_per_s=10.0, burst=0.0)}, home.now_s
    )
    assert home.admitted(100) <= 2


def test_a_home_asks_for_the_limits_of_a_customer_that_it_does_not_know():
    home = Home()
    assert isinstance(home.ask('new'), UnknownCustomer)
    assert isinstance(home.ask('new', limits=LIMITS), OverQuota)
    home.wait(1.0)
    assert isinstance(home.ask('new'), Admitted)


def test_a_share_of_the_rights_fills_a_share_of_the_rate():
    home = Home(members=('e', 'f', 'g', 'h'))
    home.wait(2.0)
    assert home.admitted(50) in (4, 5)
    # Entries that are no members add nothing.
    home.ask('', entry='x')
    assert home.home.share() == 0.25


def test_refused_callers_are_told_different_times():
    """Guards against callers who all come back at once."""
    home = Home()
    home.wait(1.0)
    home.admitted(50)
    times = [home.ask().retry_after_s for _ in range(10)]
    assert len(set(times)) == 10
    assert max(times) <= 5.0


class Queue(Home):
    """A customer whose requests wait for capacity after their admission."""

    def __init__(self, limits=LIMITS):
        super().__init__()
        self.limits = limits
        self.home.update_limits({'c': limits}, self.now_s)
        self.waiting = []
        self.run_times_s = []
        self.refused = 0

    def enqueue(self):
        if not isinstance(self.ask(), Admitted):
            self.refused += 1
            return
        self.waiting.append([self.now_s, self.home.stamp()])

    def report_waiting(self):
        """Report the requests that have waited for 0.1 s."""
        for request in self.waiting:
            since_s, counted_at = request
            if counted_at is not None and self.now_s - since_s >= 0.1 - 1e-6:
                self.ask('', waited=waited(counted_at, runs=False))
                request[1] = None

    def run_older_than(self, wait_s):
        """Run the requests that have waited for some time."""
        while self.waiting and self.now_s - self.waiting[0][0] >= wait_s:
            _, counted_at = self.waiting.pop(0)
            self.run(counted_at)

    def run(self, counted_at):
        ran = self.ask('', waited=waited(counted_at, runs=True))
        if isinstance(ran, Admitted):
            self.run_times_s.append(self.now_s)
        else:
            self.refused += 1

    def send(self, rate_per_s, duration_s, wait_s):
        """Send requests at a rate, each of which waits before it runs."""
        for number in range(round(duration_s * 10)):
            self.wait(0.1)
            sent = int((number + 1) * rate_per_s / 10 + 1e-9) - int(
                number * rate_per_s / 10 + 1e-9
            )
            for _ in range(sent):
                self.enqueue()
            self.report_waiting()
            self.run_older_than(wait_s)

    def most_in_a_window(self):
        return max(
            sum(
                start_s <= at_s < start_s + BOUNDS.window_s - 1e-6
                for at_s in self.run_times_s
            )
            for start_s in self.run_times_s
        )


def waited(counted_at, *, runs):
    return Waited(customer='c', counted_at=counted_at, runs=runs)


@pytest.mark.parametrize('rate_per_s', [200, 10])
def test_requests_that_waited_in_a_queue_stay_within_the_bound(rate_per_s):
    """Admitted requests wait for capacity for 5 s, then all run at once.

    Guards against requests that are counted only when they are admitted: 123
    ran in a window whose bound is 97.
    """
    queue = Queue()
    queue.wait(10.0)
    queue.send(rate_per_s, 5.0, wait_s=float('inf'))
    queue.run_older_than(0.0)
    queue.send(rate_per_s, 5.0, wait_s=0.0)
    limit = LIMITS.rate_per_s * BOUNDS.window_s + LIMITS.burst
    assert queue.most_in_a_window() <= limit * 1.1 + BOUNDS.slack
    # The bound from below: the limit is used.
    assert queue.most_in_a_window() >= limit


@pytest.mark.parametrize('burst', [0.0, 20.0])
@pytest.mark.parametrize(
    ('share', 'wait_s'), [(0.5, 5.0), (0.9, 1.0), (0.9, 4.0)]
)
def test_a_steady_wait_refuses_nobody_who_is_within_the_limit(
    share, wait_s, burst
):
    """Guards against requests that count while they wait and as they run."""
    queue = Queue(Limits(rate_per_s=20.0, burst=burst))
    queue.wait(10.0)
    queue.send(share * 20, 20.0, wait_s=wait_s)
    assert queue.refused == 0


class PatientQueue(Queue):
    """Also asks again, as entries do, for those that may not run yet."""

    def __init__(self, limits=LIMITS):
        super().__init__(limits)
        self.asking_again = []

    def wait(self, duration_s):
        for _ in range(round(duration_s * 10)):
            super().wait(0.1)
            due = [ask for ask in self.asking_again if ask[0] <= self.now_s]
            for ask in due:
                self.asking_again.remove(ask)
                self.run(None, ask[1])

    def run(self, counted_at, wait=None):
        wait = wait or AdmissionWait(objective_s=6.0, started_at_s=self.now_s)
        ran = self.ask('', waited=waited(counted_at, runs=True))
        if isinstance(ran, Admitted):
            self.run_times_s.append(self.now_s)
        elif (pause_s := wait.next_ask_s(ran, self.now_s)) is not None:
            assert pause_s > 0
            self.asking_again.append((self.now_s + pause_s, wait))
        else:
            self.refused += 1


@pytest.mark.parametrize(
    ('burst', 'queue_s'), [(20.0, 5.0), (30.0, 7.0), (0.0, 0.8)]
)
def test_a_queue_that_empties_refuses_nobody_at_half_of_the_limit(
    burst, queue_s
):
    """Guards against refusals of requests that are free to run at once."""
    limits = Limits(rate_per_s=10.0, burst=burst)
    queue = PatientQueue(limits)
    queue.wait(10.0)
    queue.send(5, queue_s, wait_s=float('inf'))
    emptied_at_s = queue.now_s
    queue.run_older_than(0.0)
    # As another home may admit the whole rate of the window that follows.
    assert len(queue.run_times_s) <= BOUNDS.capacity(limits)
    queue.send(5, 5.0, wait_s=0.0)
    assert queue.refused == 0
    assert not queue.asking_again
    assert len(queue.run_times_s) == int(5 * queue_s) + 25
    ran = sum(at_s <= emptied_at_s + 0.5 for at_s in queue.run_times_s)
    assert ran >= int(5 * queue_s)


def test_a_home_that_takes_over_bounds_the_requests_that_waited():
    """Guards against a home that runs what another one has admitted."""
    home = Home()
    home.wait(0.5)
    other = Stamp(run=2, at_ms=1000)
    run = sum(
        isinstance(home.ask('', waited=waited(other, runs=True)), Admitted)
        for _ in range(50)
    )
    # What was filled in since the first loan, 0.4 s ago.
    assert run == 4


def test_a_home_that_does_not_know_the_customer_asks_for_its_limits():
    home = Home()
    request = Waited(customer='new', counted_at=None, runs=True)
    assert isinstance(home.ask('', waited=request), UnknownCustomer)
    home.ask('', waited=request, limits=LIMITS)
    home.wait(1.0)
    assert isinstance(home.ask('', waited=request), Admitted)


def test_the_loan_of_an_entry_whose_stream_ended_ends_at_once():
    """Guards against a right that two homes use: the entry lends it anew."""
    home = Home(members=('e', 'f'))
    home.wait(2.0)
    assert home.home.share() == 0.5
    home.home.drop_loan('e', home.now_s)
    assert home.home.share() == 0
    assert isinstance(
        home.home.decide(
            'f',
            QuotaAsk(ticket=1, shard='0/1', loan=Loan(), customer='c'),
            home.now_s,
        ),
        OverQuota,
    )

"""When the floor binds."""

from carawaylane.decisions.usage_floor import (
    BUSY,
    LOSS_MIN,
    RISK,
    RISK_LOSING,
    WINDOW_S,
    Floor,
)


def busy(requests, *, lost=0):
    found = Floor(share=0.7)
    for number in range(requests):
        found.sent(number / requests)
        found.ended(number / requests, lost=number < lost)
    return found


def test_a_busy_service_keeps_to_it_though_nothing_is_lost():
    targets = 10
    enough = int(BUSY * targets)
    assert busy(enough).risk_limit(1.0, targets, 0) == RISK
    assert not busy(enough - 1).risk_limit(1.0, targets, 0)


def test_a_quiet_service_keeps_to_it_once_a_share_is_lost():
    lossy = busy(12, lost=LOSS_MIN)
    assert lossy.risk_limit(1.0, 10, 0) == RISK_LOSING
    stuck = LOSS_MIN - 1
    assert busy(12, lost=1).risk_limit(1.0, 10, stuck) == RISK_LOSING
    assert not busy(12, lost=1).risk_limit(1.0, 10, 0)


def test_what_is_older_than_the_window_counts_no_more():
    found = busy(40, lost=20)
    assert found.risk_limit(1.0, 10, 0)
    assert not found.risk_limit(1.0 + WINDOW_S, 10, 0)


def test_it_is_met_with_a_margin_beyond_its_share():
    found = Floor(share=0.7)
    assert found.met(well=20, untried=3)
    assert not found.met(well=20, untried=4)

"""What callers get of a dispatcher under load, in virtual time.

The bounds are shares of what a dispatcher without beliefs loses on the same
load and seeds, so that they hold for any machine.
"""

from attrs import evolve

from bench.dispatch_sim import LASTING, ROOMY, TIGHT, Baseline, Load, play
from carawaylane.decisions import failure_estimate
from carawaylane.decisions.dispatcher import Dispatcher
from carawaylane.messages.dispatch import AttemptKind, Queued, Refusal

SEEDS = 2


def test_hung_targets_cost_less_than_half_of_what_they_would():
    load = Load(length_s=30)
    ours, base = play(load, SEEDS), play(load, SEEDS, Baseline)
    assert ours.total == base.total
    assert ours.lost + ours.refused < 0.5 * (base.lost + base.refused)


def test_sound_targets_stay_in_use_while_others_hang():
    found = play(ROOMY, 4)
    assert found.lossy > 0
    assert found.starved == 0


def test_targets_that_fail_for_long_are_left_alone(monkeypatch):
    """Found in logs: failures are three times as long and rare as taken."""
    load = evolve(LASTING, length_s=40)
    ours = play(load, 3)
    monkeypatch.setattr(failure_estimate, 'STATIONARY_RISK', 0.3)
    monkeypatch.setattr(
        failure_estimate, 'TRANSITION_RATE_PER_S', 1 / 7 + 1 / 3
    )
    hasty = play(load, 3)
    assert ours.total == hasty.total
    assert ours.lost < hasty.lost


def test_sound_targets_are_in_use_before_anything_is_lost():
    """Found on the bench: what is open when power fails is lost, too."""
    calm = evolve(ROOMY, sick_s=0.01, well_s=1000.0, length_s=20)
    for load in (calm, evolve(ROOMY, length_s=20)):
        assert play(load, 2).narrow == 0


def test_a_crowded_service_serves_more_than_by_any_free_slot():
    # Single runs of so few targets lie far apart: 0.76 to 0.96.
    load = Load(targets=6, rate_per_s=40.0, length_s=30)
    ours, base = play(load, 6), play(load, 6, Baseline)
    assert ours.served > base.served


def test_under_overload_refusals_come_at_once_and_spare_the_urgent():
    load = Load(
        targets=6, rate_per_s=80.0, length_s=20, sick_s=0.01, well_s=100
    )
    found = play(load, 1)
    assert found.refused > 0
    # No ask waits beyond what it had, less the work it came for.
    assert max(found.refused_after_s) < load.timeout_s
    urgent, other = found.by_priority[0], found.by_priority[1]
    assert urgent[0] / urgent[1] > other[0] / other[1]
    assert urgent[0] / urgent[1] > 0.95


class Patient(Dispatcher):
    """Lets requests queue as long as they may be served in time at all."""

    def _queue_limit_s(self, ask, ahead):
        return ask.objective_s


def test_a_full_service_answers_in_time_rather_than_all_late():
    load = evolve(TIGHT, rate_per_s=80.0, length_s=20)
    ours, patient = play(load, 1), play(load, 1, Patient)
    assert ours.in_time > patient.in_time
    assert ours.lost + ours.late < patient.lost + patient.late


class Impatient(Dispatcher):
    """Refuses a hedge that finds no slot, so that its entry asks again."""

    def request_slot(self, ask, now_s):
        verdict = super().request_slot(ask, now_s)
        if ask.attempt is AttemptKind.HEDGE and isinstance(verdict, Queued):
            self.cancel_queued(ask.ticket)
            return Refusal(ticket=ask.ticket, retry_after_s=0.1, reason='full')
        return verdict


def test_a_full_service_rescues_hung_lookups_by_hedges_that_wait():
    load = evolve(TIGHT, rate_per_s=80.0, length_s=20)
    ours, impatient = play(load, SEEDS), play(load, SEEDS, Impatient)
    assert ours.lost < 0.5 * impatient.lost
    assert ours.served > impatient.served
    assert ours.in_time >= impatient.in_time

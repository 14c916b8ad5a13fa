"""The record of keys: first answers, bounds, late attempts."""

from carawaylane.decisions.ledger import (
    RECORD_OVERHEAD_BYTES,
    REFUSAL_MARGIN_MS,
    InDoubt,
    Join,
    Ledger,
    Refuse,
    Replay,
    Run,
)
from carawaylane.messages.outcomes import Answered

WINDOW_MS = 1000


def ledger(keys=10):
    return Ledger(window_ms=WINDOW_MS, max_bytes=RECORD_OVERHEAD_BYTES * keys)


def admit(led, key='k', accepted_ms=0, now_ms=0):
    return led.admit_attempt(key=key, accepted_ms=accepted_ms, now_ms=now_ms)


def test_a_resend_joins_the_run_then_gets_its_answer():
    led = ledger()
    answer = Answered(status=201, body=b'x')
    assert admit(led) == Run()
    assert admit(led) == Join()
    led.record_answer('k', answer, 5)
    assert admit(led) == Replay(answer=answer)


def test_a_doubtful_key_never_runs_again():
    led = ledger()
    admit(led)
    led.mark_in_doubt('k', 5)
    assert isinstance(admit(led, accepted_ms=900, now_ms=900), InDoubt)


def test_a_refusal_stands_against_attempts_accepted_before_it():
    led = ledger()
    admit(led)
    led.record_refusal('k', 100)
    assert isinstance(admit(led, accepted_ms=100, now_ms=120), Refuse)
    later = 101 + REFUSAL_MARGIN_MS
    assert admit(led, accepted_ms=later, now_ms=later) == Run()


def test_at_its_bound_answers_go_first_then_new_keys_are_refused():
    led = ledger(keys=2)
    admit(led, 'a')
    led.record_answer('a', Answered(status=200, body=b'x' * 100), 1)
    admit(led, 'b')
    led.record_answer('b', Answered(status=200, body=b'y' * 100), 2)
    assert isinstance(admit(led, 'a', now_ms=3), InDoubt)
    assert isinstance(admit(led, 'c', now_ms=3), Refuse)


def test_keys_are_forgotten_after_the_window():
    led = ledger()
    admit(led)
    led.record_answer('k', Answered(status=200), 0)
    assert admit(led, accepted_ms=WINDOW_MS, now_ms=WINDOW_MS) == Run()

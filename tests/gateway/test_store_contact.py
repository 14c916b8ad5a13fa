"""Tests of what a node knows of the store's answers to its calls."""

from asyncio import create_task, get_running_loop, sleep
from types import SimpleNamespace

import pytest

from carawaylane.decisions.propagation.store_outages import StoreOutages
from carawaylane.decisions.propagation.watch_duty import (
    LATE_ANSWER_S,
    LEAST_WATCH_WAIT_S,
    MOST_WATCH_WAIT_S,
    SPREAD_S,
    TAKEOVER_S,
    watch_wait_s,
)
from carawaylane.gateway.store_contact import StoreContact
from carawaylane.messages.stored_objects import ObjectKind
from carawaylane.storage.driver import Unavailable
from tests.gateway.simulated_fleet import run_in_virtual_time

WAIT_S = 1.0


async def call(answer_s, result):
    await sleep(answer_s)
    return result


def make_contact(found):
    """Return a contact that adds what it announces, and when."""
    loop = get_running_loop()
    directory = SimpleNamespace(
        outages=StoreOutages(name='n1', answered_at_s=0.0)
    )
    contact = StoreContact(
        kernel=SimpleNamespace(
            cfg=SimpleNamespace(name='n1'),
            now_s=loop.time,
            find=lambda _name: directory,
        ),
        on_announcement=lambda: found.append(
            (round(loop.time(), 3), contact.is_answered())
        ),
    )
    return contact


async def announcements(answer_s, result, kind=ObjectKind.PLAN):
    found = []
    contact = make_contact(found)
    answer = call(answer_s, result)
    assert await contact.wait_for(kind, answer, WAIT_S) is result
    await sleep(10)
    return found


@pytest.mark.parametrize(
    ('answer_s', 'result', 'expected'),
    [
        (0.004, 'page', [(0.004, True)]),
        (WAIT_S + 0.2, 'page', [(1.2, True)]),
        (WAIT_S + 0.6, 'page', [(1.35, False), (1.6, True)]),
        (0.1, Unavailable(reason='status 503'), [(0.1, False)]),
        (
            WAIT_S + 0.7,
            Unavailable(reason='TimeoutError'),
            [(1.35, False), (1.7, False)],
        ),
    ],
)
def test_a_late_answer_is_announced_before_the_call_ends(
    answer_s, result, expected
):
    """A node said for 0.7 s more that a silent store answers it."""
    found = run_in_virtual_time(announcements(answer_s, result))
    assert found == expected


def test_only_calls_for_the_routes_tell_whether_the_store_answers():
    found = run_in_virtual_time(
        announcements(5.0, Unavailable(reason='x'), ObjectKind.MEMBERS)
    )
    assert [answered for _, answered in found] == [True, True]


def test_a_call_that_is_cancelled_announces_nothing():
    async def run():
        found = []
        contact = make_contact(found)
        task = create_task(
            contact.wait_for(ObjectKind.PLAN, call(5.0, 'page'), WAIT_S)
        )
        await sleep(0.1)
        task.cancel()
        await sleep(10)
        return found

    assert run_in_virtual_time(run()) == []


@pytest.mark.parametrize('bound_s', [1.9, 2.0, 2.5, 3.0])
def test_the_steps_from_a_silent_store_to_all_nodes_fit_into_the_bound(
    bound_s,
):
    steps_s = LATE_ANSWER_S + TAKEOVER_S + SPREAD_S
    assert watch_wait_s(bound_s) + steps_s <= bound_s + 1e-9


def test_a_watch_waits_neither_too_short_nor_too_long():
    assert watch_wait_s(0.1) == LEAST_WATCH_WAIT_S
    assert watch_wait_s(60.0) == MOST_WATCH_WAIT_S

"""Slopes of the gateway profile: what a decision costs, and its size."""

from __future__ import annotations

import argparse
from random import Random
from sys import stderr
from time import process_time, sleep

from carawaylane.decisions.dispatcher import Dispatcher
from carawaylane.decisions.dissemination import rank_members
from carawaylane.decisions.failure_estimate import Result
from carawaylane.decisions.replica import ObjectReplica
from carawaylane.messages.dispatch import Grant, SlotRequest
from carawaylane.messages.platform_objects import Member, TargetSpec
from carawaylane.messages.stored_objects import ObjectDelta, StoredObject
from carawaylane.rpc.fleet_codec import (
    pack_result,
    pack_slot_reply,
    pack_slot_request,
)
from carawaylane.settings.gateway import Bounds
from carawaylane.telemetry.events import REQUEST_GRANTED, emit, log_to_stdout
from carawaylane.telemetry.log_writer import LINES_PER_S

ASKS = 400
LOG_LINES = 200


def _ask(number: int) -> SlotRequest:
    return SlotRequest(
        ticket=('front-heredia-1@1700000000000', number),
        data_centre='dc',
        route='r-9n73hh2',
        priority=1,
        idempotent=False,
        left_s=2.0,
        objective_s=0.6,
        digest=1 << 60,
        request_id='9c41d07be2a35f68',
    )


def ask_us(targets: int) -> float:
    """Return processor time of an ask with its report, half busy."""
    found = Dispatcher(service='s', bounds=Bounds())
    found.update_targets(
        [
            TargetSpec(
                name=f'i-{number:08}',
                service='s',
                address='10.0.0.1:80',
                data_centre='dc',
                slots=4,
                draining=False,
            )
            for number in range(targets)
        ],
        0.0,
    )
    rng = Random(1)
    open_asks: list[SlotRequest] = []
    began = process_time()
    for number in range(ASKS):
        now_s = number * 0.2 / (2 * targets)
        ask = _ask(number)
        if isinstance(found.request_slot(ask, now_s), Grant):
            open_asks.append(ask)
        if len(open_asks) > 2 * targets:
            done = open_asks.pop(rng.randrange(len(open_asks)))
            found.record_result(done.ticket, Result.ANSWERED, 0.2, now_s)
    return (process_time() - began) / ASKS * 1e6


def rank_us(members: int) -> float:
    """Return processor time of ranking members for a service."""
    found = [
        Member(name=f'n{n}', address='10.0.0.1:1', data_centre='d', cores=1.0)
        for n in range(members)
    ]
    began = process_time()
    for number in range(50):
        rank_members(found, f's{number}')
    return (process_time() - began) / 50 * 1e6


def take_us(items: int) -> float:
    """Return processor time of taking one change in a copy of that size."""
    copy = ObjectReplica()
    copy.apply(
        ObjectDelta(
            items=tuple(
                StoredObject(name=f'i{n}', revision=1, data=b'x')
                for n in range(items)
            ),
            revision=1,
        ),
        0.0,
    )
    began = process_time()
    for number in range(2, 202):
        news = ObjectDelta(
            items=(StoredObject(name='i1', revision=number, data=b'y'),),
            revision=number,
            base=number - 1,
        )
        copy.apply(news, 0.0)
    return (process_time() - began) / 200 * 1e6


def grant_bytes() -> int:
    """Return the bytes of an ask, its grant and its report."""
    ask = _ask(1)
    grant = Grant(
        ticket=ask.ticket,
        target='i-7f3a91c2',
        address='10.128.0.9:8080',
        hedge_after_s=0.4,
        risk=0.1,
    )
    return sum(
        msg.ByteSize()
        for msg in (
            pack_slot_request(ask, 'wuno96b'),
            pack_slot_reply(grant),
            pack_result(ask.ticket, 'wuno96b', Result.ANSWERED, 0.2),
        )
    )


def log_us(lines: int, seconds: float) -> float:
    """Return processor time of a decision's line, written or left out.

    All threads count; the lines come evenly over a time.
    """
    handler = log_to_stdout()
    began = process_time()
    for number in range(lines):
        emit(
            REQUEST_GRANTED,
            request=f'{number:016x}',
            service='wuno96b',
            target='i-7f3a91c2',
            risk=0.012,
            turn='FIRST',
            entry='front-heredia-1@1700000000000',
        )
        sleep(seconds / lines)
    handler.flush_queue()
    busy_s = process_time() - began
    began = process_time()
    for _ in range(lines):
        sleep(seconds / lines)
    return (busy_s - (process_time() - began)) / lines * 1e6


def main() -> None:
    """Print the slopes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--log', action='store_true', help='only the cost of log lines'
    )
    if parser.parse_args().log:
        written = log_us(LOG_LINES, LOG_LINES / LINES_PER_S)
        left_out = log_us(50 * LOG_LINES, LOG_LINES / LINES_PER_S)
        print(f'line written: {written:.0f} us', file=stderr)
        print(f'50 times as many: {left_out:.0f} us a line', file=stderr)
        return
    for targets in (10, 35, 100, 200):
        print(f'ask with {targets} targets: {ask_us(targets):.0f} us')
    for members in (44, 130, 1400):
        print(f'rank of {members} members: {rank_us(members):.0f} us')
    for items in (100, 1000, 23000):
        print(f'change in a copy of {items}: {take_us(items):.0f} us')
    print(f'ask, grant and report: {grant_bytes()} bytes')


if __name__ == '__main__':
    main()

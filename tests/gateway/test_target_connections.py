"""Tests of the pool of connections to targets."""

import pytest

from carawaylane.gateway.target_connections import (
    MAX_IDLE_S,
    MAX_REQUESTS_PER_CONNECTION,
    Connection,
    ConnectionPool,
)
from carawaylane.messages.exchange import OutgoingRequest


class FakeProtocol:
    should_close = False

    def __init__(self):
        self.connected = True

    def is_connected(self):
        return self.connected


class FakeTransport:
    def __init__(self, protocol):
        self._protocol = protocol

    def abort(self):
        self._protocol.connected = False


def make_connection(number=1):
    protocol = FakeProtocol()
    return Connection(
        number=number, protocol=protocol, transport=FakeTransport(protocol)
    )


def make_request(request_id):
    return OutgoingRequest(
        method='GET',
        path='/',
        headers=(),
        body=b'',
        request_id=request_id,
        idempotent=True,
    )


def send(pool, conn, request_id, now_s=0.0):
    conn.add_request(make_request(request_id))
    pool.put('a:1', conn, now_s)


def test_a_request_gets_a_connection_that_has_not_carried_it():
    pool = ConnectionPool()
    older, newer = make_connection(1), make_connection(2)
    send(pool, older, 'r1')
    send(pool, newer, 'r2')
    assert pool.take('a:1', make_request('r2'), 1.0) is older
    assert pool.take('a:1', make_request('r2'), 1.0) is None
    assert pool.take('a:1', make_request('r3'), 1.0) is newer


@pytest.mark.parametrize('idle_id', ['r1', ''])
def test_requests_without_an_id_share_no_connection(idle_id):
    pool = ConnectionPool()
    send(pool, make_connection(), idle_id)
    assert pool.take('a:1', make_request(''), 1.0) is None
    taken = pool.take('a:1', make_request('r2'), 1.0)
    assert (taken is None) == (idle_id == '')


def test_a_connection_carries_a_bounded_number_of_requests():
    pool = ConnectionPool()
    conn = make_connection()
    for number in range(MAX_REQUESTS_PER_CONNECTION):
        send(pool, conn, f'r{number}')
        taken = pool.take('a:1', make_request('next'), 0.0)
    assert taken is None
    assert not conn.protocol.is_connected()


def test_idle_connections_to_unused_addresses_are_closed():
    pool = ConnectionPool()
    gone = make_connection(1)
    pool.put('gone:1', gone, 0.0)
    for now_s in (MAX_IDLE_S / 2, MAX_IDLE_S + 1):
        pool.put('a:1', make_connection(2), now_s)
    assert not gone.protocol.is_connected()


@pytest.mark.parametrize('digits', [1, 9, 400, 5000])
def test_a_keep_alive_time_of_any_length_is_read(digits):
    conn = make_connection()
    conn.limit_idle_time('timeout=' + '9' * digits)
    assert conn.max_idle_s <= MAX_IDLE_S

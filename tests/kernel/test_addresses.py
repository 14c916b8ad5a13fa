"""Tests of reading addresses."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawaylane.gateway.target_connections import ConnectionPool
from carawaylane.kernel.addresses import (
    InvalidAddressError,
    is_address,
    split_address,
)


@pytest.mark.parametrize(
    ('address', 'parts'),
    [
        ('10.0.0.1:80', ('10.0.0.1', 80)),
        ('a-b.example:65535', ('a-b.example', 65535)),
        ('[::1]:80', ('::1', 80)),
        ('::1:80', ('::1', 80)),
    ],
)
def test_an_address_has_a_host_and_a_port(address, parts):
    assert is_address(address)
    assert split_address(address) == parts


@pytest.mark.parametrize(
    'address',
    [
        '',
        'h',
        ':80',
        'h:',
        'h:0',
        'h:65536',
        'h:-1',
        'h:+1',
        'h: 1',
        'h:1\n',
        'h:8_0',
        'h:\u0661',
        'h:' + '9' * 5000,
        'a\r\nb:80',
        'a\0:80',
        '\udcff:80',
        '\ufffd:80',
        'x' * 254 + ':80',
    ],
    ids=lambda address: ascii(address[:12]),
)
async def test_a_malformed_address_is_an_error_of_the_connection(address):
    assert not is_address(address)
    with pytest.raises(InvalidAddressError):
        split_address(address)
    with pytest.raises(OSError, match='host:port'):
        await ConnectionPool().open(address)


@given(st.text(max_size=20))
def test_any_text_is_an_address_or_none(text):
    try:
        host, port = split_address(text)
    except InvalidAddressError:
        assert not is_address(text)
    else:
        assert is_address(text)
        assert host.isascii()
        assert 0 < port < 65536

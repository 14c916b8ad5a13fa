"""Tests of reading addresses."""

from ipaddress import ip_address

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawaylane.gateway.target_connections import ConnectionPool
from carawaylane.kernel.addresses import (
    InvalidAddressError,
    is_address,
    split_address,
    split_host_port,
)

# The forms of the addresses of entries that ended nodes of the users, and
# others that a resolver takes for an address, or fails on. All are of the
# loopback interface, should a node connect to one.
NO_IP_ADDRESSES = [
    '127.0.0.1:0',
    '127.0.0.1',
    '127.0.0.1 :80',
    '[127.0.0.1:80',
    'http://127.0.0.1:80/',
    '127.0.0.1:http',
    '::1:80',
    '127.1:80',
    '127..1:80',
    '127.0.0.1:-1',
    '127.0.0.1:' + '80' * 6,
    '[::1%r\u00e9seau]:80',
    '[::1%lo]:80',
    '[127.0.0.1]:80',
    '[h]:80',
    '0127.0.0.1:80',
    '0x7f.1:80',
    '2130706433:80',
    '127.0.0.256:80',
    '127.0.0.1.:80',
    'h..localhost:80',
    'x' * 64 + '.localhost:80',
    '.localhost:80',
    '-h.localhost:80',
]


@pytest.mark.parametrize(
    ('address', 'parts'),
    [
        ('10.0.0.1:80', ('10.0.0.1', 80)),
        ('[::1]:80', ('::1', 80)),
        ('[FE80::0:1]:80', ('fe80::1', 80)),
    ],
)
def test_an_address_has_a_host_and_a_port(address, parts):
    assert is_address(address)
    assert split_address(address) == parts
    assert split_host_port(address) == parts


@pytest.mark.parametrize(
    ('address', 'parts'),
    [
        ('a-b.example:65535', ('a-b.example', 65535)),
        ('localhost:1', ('localhost', 1)),
        ('x_1.h2:80', ('x_1.h2', 80)),
        ('x' * 63 + '.a:80', ('x' * 63 + '.a', 80)),
    ],
    ids=lambda part: ascii(part[:12]),
)
def test_a_host_name_is_no_address_of_the_platform(address, parts):
    """A lookup may block or raise, and the platform has none."""
    assert split_host_port(address) == parts
    assert not is_address(address)
    with pytest.raises(InvalidAddressError):
        split_address(address)


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
        '\u212a:80',
        'x' * 254 + ':80',
        *NO_IP_ADDRESSES,
    ],
    ids=lambda address: ascii(address[:12]),
)
async def test_a_malformed_address_is_an_error_of_the_connection(address):
    """Some raised UnicodeError, which ended the node that tried them."""
    assert not is_address(address)
    for split in (split_address, split_host_port):
        with pytest.raises(InvalidAddressError):
            split(address)
    with pytest.raises(OSError, match='host:port'):
        await ConnectionPool().open(address)


TEXTS = st.text(max_size=20) | st.from_regex(
    r'[\[\]0-9a-fx.:%_-]{1,40}:[0-9]{1,5}', fullmatch=True
)


@given(TEXTS)
def test_any_text_is_an_address_or_none(text):
    try:
        host, port = split_address(text)
    except InvalidAddressError:
        assert not is_address(text)
    else:
        assert is_address(text)
        assert str(ip_address(host)) == host
        assert 0 < port < 65536


@given(TEXTS)
def test_any_host_can_be_looked_up(text):
    try:
        host, port = split_host_port(text)
    except InvalidAddressError:
        return
    assert host.encode('idna').decode() == host
    assert 0 < port < 65536

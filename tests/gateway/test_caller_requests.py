"""Hosts and paths of callers' request lines."""

import pytest
from multidict import CIMultiDict

from carawaylane.gateway.caller_requests import host_and_path


@pytest.mark.parametrize(
    ('target', 'expected'),
    [
        ('http://h/stock/1', ('h', '/stock/1')),
        ('http://t:80/http://t/1', ('t', '/http://t/1')),
        ('HTTP://http/1?a=http://p', ('http', '/1?a=http://p')),
        ('http://u@p/x', ('p', '/x')),
        ('http://ht?q', ('ht', '/?q')),
        ('http://ttp', ('ttp', '/')),
        ('https://h/x', (None, 'https://h/x')),
        ('http:///x', (None, 'http:///x')),
    ],
)
def test_an_absolute_target_is_split_where_its_host_ends(target, expected):
    headers = CIMultiDict(Host='other.example')
    assert host_and_path(target, headers) == expected

"""Requests find their traffic kind."""

from hypothesis import given, settings
from hypothesis import strategies as st

from carawaylane.config.schema import TrafficKind
from carawaylane.decisions.routing import TrafficKindTable, request_labels
from carawaylane.decisions.selector import parse_selector


def kind(name, selector, priority=0):
    return TrafficKind(
        name=name,
        selector=selector,
        service='s',
        safety='idempotent',
        priority=priority,
    )


SELECTORS = ['a=1', 'a=2', 'a in (1, 3)', 'b=1', 'a=1, b=2', '', '!a', 'b']
KINDS = [kind(f'k{n}', text, n) for n, text in enumerate(SELECTORS)]


@settings(derandomize=True, deadline=None)
@given(
    st.dictionaries(st.sampled_from('abc'), st.sampled_from('123')),
    st.lists(st.integers(0, len(KINDS) - 1), max_size=12),
)
def test_the_index_finds_what_a_full_scan_finds(labels, removed):
    table = TrafficKindTable.build(KINDS)
    kept = {each.name: each for each in KINDS}
    for number in removed:
        name = KINDS[number].name
        if kept.pop(name, None):
            table.remove(name)
        else:
            table.put(KINDS[number])
            kept[name] = KINDS[number]
    matching = [
        each
        for each in kept.values()
        if parse_selector(each.selector).matches(labels)
    ]
    best = max(matching, key=lambda each: each.priority, default=None)
    assert table.find(labels) == best


def test_labels_of_the_fleet_win_over_those_of_the_caller():
    labels = request_labels(
        method='GET',
        path='/stock/7',
        host='h',
        caller='c',
        labels_header='op=read, method=POST',
    )
    assert labels['method'] == 'GET'
    assert labels['op'] == 'read'
    assert labels['segment1'] == '7'

"""Reading documents and checking whole configurations."""

from pathlib import Path

import pytest

from carawaylane.commands.change import check_files, read_files
from carawaylane.config.check import check_change
from carawaylane.config.documents import from_json, read_yaml, to_json
from carawaylane.config.schema import kind_of

SAMPLES = Path(__file__).parents[2] / 'samples'

SERVICE = 'kind: Service\nname: s\nselector: app=s\n'
TRAFFIC_KIND = (
    'kind: TrafficKind\nname: {name}\nselector: {selector}\nservice: s\n'
    'safety: idempotent\npriority: {priority}\n'
)
TARGET = 'kind: Target\nname: {name}\naddress: 127.0.0.1:{port}\n'


def problems_in(text):
    docs, problems = read_yaml(text, source='f.yaml')
    if not problems:
        problems = check_change({}, docs, ()).errors
    return '\n'.join(map(str, problems))


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('kind: Nothing\nname: x', "f.yaml:1: kind 'Nothing'"),
        ('- a', 'not a mapping'),
        ('a: [', 'f.yaml:'),
        ('kind: Service\nname: s', 'selector missing'),
        (SERVICE + 'colour: red', 'colour'),
        (SERVICE + 'shards: many', 'shards'),
        (SERVICE + 'detector: guess', 'none of consecutive, cusum'),
        (SERVICE + 'shards: 0', 'shards must be from 1'),
        (SERVICE + 'weights: {detection: -1}', 'weights must be positive'),
        ('kind: Service\nname: s\nselector: "a=1,"', 'comma'),
        ('---\n' + SERVICE + '---\nkind: Target\nname: t', 'f.yaml:6'),
        (TARGET.format(name='t', port='x'), 'not HOST:PORT'),
        (TARGET.format(name='t', port='9' * 5000), 'not HOST:PORT'),
        ('kind: Target\nname: t\naddress: a..b:1', 'not HOST:PORT'),
        ('kind: Target\nname: t\naddress: "[::1:1"', 'not HOST:PORT'),
        ('kind: Target\nname: t\naddress: "10.1:1"', 'not HOST:PORT'),
        (
            TARGET.format(name='t', port=1) + 'labels: {state: gone}',
            'state must be one of',
        ),
        (
            TRAFFIC_KIND.format(name='k', selector='a=1', priority=0),
            "named 's'",
        ),
    ],
)
def test_a_problem_is_reported_with_its_place(text, expected):
    assert expected in problems_in(text)


def test_kinds_may_overlap_only_at_different_priorities():
    first = TRAFFIC_KIND.format(name='one', selector='a=1', priority=0)
    for priority, expected in ((0, 'overlaps'), (1, '')):
        second = TRAFFIC_KIND.format(
            name='two', selector='b=1', priority=priority
        )
        text = f'{SERVICE}---\n{first}---\n{second}'
        assert expected in problems_in(text)
        assert bool(problems_in(text)) == bool(expected)


def test_two_targets_cannot_share_an_address():
    text = '---\n'.join(TARGET.format(name=n, port=1) for n in 'ab')
    assert 'has the address of Target a' in problems_in(text)


def test_the_number_of_shards_cannot_change():
    docs, _ = read_yaml(SERVICE, source='f')
    before = {(kind_of(doc), doc.name): doc for doc in docs}
    changed, _ = read_yaml(SERVICE + 'shards: 2', source='f')
    assert 'keys would change owners' in str(
        check_change(before, changed, ()).errors[0]
    )


def test_the_samples_are_valid_and_survive_a_json_round_trip():
    paths = sorted(SAMPLES.glob('*.yaml'))
    assert check_files(paths).ok
    docs, _ = read_files(paths)
    assert [from_json(to_json(doc)) for doc in docs] == docs

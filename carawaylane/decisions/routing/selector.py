"""Selectors over labels: equality, set membership and existence.

A selector is a list of terms joined by commas, all of which must hold:
`key=value`, `key!=value`, `key in (a, b)`, `key notin (a, b)`, `key`, `!key`.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from functools import lru_cache

from attrs import frozen

Labels = Mapping[str, str]

_KEY = r'[A-Za-z0-9][A-Za-z0-9_./-]*'
_VALUE = r'[^\s,()=!]*'
_TERM = re.compile(
    rf'\s*(?:(?P<absent>!\s*(?P<akey>{_KEY}))'
    rf'|(?P<skey>{_KEY})\s+(?P<set>in|notin)\s*\((?P<values>[^()]*)\)'
    rf'|(?P<ekey>{_KEY})\s*(?P<oper>!=|=)\s*(?P<value>{_VALUE})'
    rf'|(?P<key>{_KEY}))\s*(?:,|$)'
)


class SelectorError(ValueError):
    """The text of a selector is invalid; the message says where and why."""


@frozen(kw_only=True)
class Term:
    """One condition on one label.

    `values` holds the admitted values, or the excluded ones if `negated`. If
    it is None, the term requires that the label exists, or, if `negated`,
    that it does not.
    """

    key: str
    values: frozenset[str] | None = None
    negated: bool = False

    def matches(self, labels: Labels) -> bool:
        """Return whether the labels satisfy this term."""
        value = labels.get(self.key)
        if self.values is None:
            return (value is None) == self.negated
        return (value in self.values) != self.negated

    def overlaps(self, other: Term) -> bool:
        """Return whether a label could satisfy both terms on its key."""
        if self.values is None and other.values is None:
            return self.negated == other.negated
        if self.values is None or other.values is None:
            return _overlaps_existence(self, other)
        if self.negated and other.negated:
            return True
        if self.negated:
            return bool(other.values - self.values)
        if other.negated:
            return bool(self.values - other.values)
        return bool(self.values & other.values)


@frozen(kw_only=True)
class Selector:
    """A parsed selector; without terms it matches everything."""

    text: str
    terms: tuple[Term, ...]

    def matches(self, labels: Labels) -> bool:
        """Return whether the labels satisfy every term."""
        return all(term.matches(labels) for term in self.terms)

    def overlaps(self, other: Selector) -> bool:
        """Return whether some set of labels could match both selectors."""
        return all(
            own_term.overlaps(other_term)
            for own_term in self.terms
            for other_term in other.terms
            if own_term.key == other_term.key
        )

    def admitted_values(self) -> dict[str, frozenset[str]]:
        """Return the admitted values of each label that the terms list."""
        return {
            term.key: term.values
            for term in self.terms
            if term.values is not None and not term.negated
        }


@lru_cache(maxsize=32768)
def parse_selector(text: str) -> Selector:
    """Parse a selector; raise SelectorError if it is invalid."""
    terms: list[Term] = []
    pos = 0
    stripped = text.rstrip()
    while pos < len(stripped):
        match = _TERM.match(stripped, pos)
        if match is None:
            raise SelectorError(
                f'invalid term {stripped[pos:]!r} at column {pos + 1}'
            )
        terms.append(_make_term(match))
        pos = match.end()
    if stripped.endswith(','):
        raise SelectorError(
            f'a term is missing after the comma at column {pos}'
        )
    selector = Selector(text=text.strip(), terms=tuple(terms))
    _reject_contradictions(selector)
    return selector


def _make_term(match: re.Match[str]) -> Term:
    if match['absent']:
        return Term(key=match['akey'], negated=True)
    if match['set']:
        values = frozenset(part.strip() for part in match['values'].split(','))
        if values == {''}:
            raise SelectorError(f'no values are listed for {match["skey"]!r}')
        return Term(
            key=match['skey'], values=values, negated=match['set'] == 'notin'
        )
    if match['oper']:
        return Term(
            key=match['ekey'],
            values=frozenset([match['value']]),
            negated=match['oper'] == '!=',
        )
    return Term(key=match['key'])


def _reject_contradictions(selector: Selector) -> None:
    for index, term in enumerate(selector.terms):
        for other in selector.terms[index + 1 :]:
            if term.key == other.key and not term.overlaps(other):
                raise SelectorError(
                    f'the terms on {term.key!r} contradict each other'
                )


def _overlaps_existence(first: Term, second: Term) -> bool:
    existence, valued = (
        (first, second) if first.values is None else (second, first)
    )
    if not existence.negated:
        return True
    return valued.negated

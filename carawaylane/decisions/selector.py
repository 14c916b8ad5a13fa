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
    """A selector that can't be read; the text says where and why."""


@frozen(kw_only=True)
class Term:
    """One condition on one label.

    `values` holds the admitted values, or the excluded ones if `negated`;
    None means that only existence counts.
    """

    key: str
    values: frozenset[str] | None = None
    negated: bool = False

    def matches(self, labels: Labels) -> bool:
        """Return whether the labels meet this condition."""
        value = labels.get(self.key)
        if self.values is None:
            return (value is None) == self.negated
        return (value in self.values) != self.negated

    def overlaps(self, other: Term) -> bool:
        """Return whether some value of the label could meet both."""
        if self.values is None and other.values is None:
            return self.negated == other.negated
        if self.values is None or other.values is None:
            return _overlap_existence(self, other)
        if self.negated and other.negated:
            return True
        if self.negated:
            return bool(other.values - self.values)
        if other.negated:
            return bool(self.values - other.values)
        return bool(self.values & other.values)


@frozen(kw_only=True)
class Selector:
    """All terms of a selector; one without terms matches everything."""

    text: str
    terms: tuple[Term, ...]

    def matches(self, labels: Labels) -> bool:
        """Return whether the labels meet every term."""
        return all(term.matches(labels) for term in self.terms)

    def overlaps(self, other: Selector) -> bool:
        """Return whether some set of labels could meet both."""
        return all(
            mine.overlaps(theirs)
            for mine in self.terms
            for theirs in other.terms
            if mine.key == theirs.key
        )

    def exact(self) -> dict[str, frozenset[str]]:
        """Return the admitted values of each label that has a fixed set."""
        return {
            term.key: term.values
            for term in self.terms
            if term.values is not None and not term.negated
        }


@lru_cache(maxsize=32768)
def parse_selector(text: str) -> Selector:
    """Return the selector written in `text`, or raise SelectorError."""
    terms: list[Term] = []
    pos = 0
    stripped = text.rstrip()
    while pos < len(stripped):
        found = _TERM.match(stripped, pos)
        if found is None:
            raise SelectorError(
                f'cannot read {stripped[pos:]!r} at column {pos + 1}'
            )
        terms.append(_term(found))
        pos = found.end()
    if stripped.endswith(','):
        raise SelectorError(f'nothing follows the comma at column {pos}')
    selector = Selector(text=text.strip(), terms=tuple(terms))
    _check_terms(selector)
    return selector


def _term(found: re.Match[str]) -> Term:
    if found['absent']:
        return Term(key=found['akey'], negated=True)
    if found['set']:
        values = frozenset(part.strip() for part in found['values'].split(','))
        if values == {''}:
            raise SelectorError(f'no values for {found["skey"]!r}')
        return Term(
            key=found['skey'], values=values, negated=found['set'] == 'notin'
        )
    if found['oper']:
        return Term(
            key=found['ekey'],
            values=frozenset([found['value']]),
            negated=found['oper'] == '!=',
        )
    return Term(key=found['key'])


def _check_terms(selector: Selector) -> None:
    for index, term in enumerate(selector.terms):
        for other in selector.terms[index + 1 :]:
            if term.key == other.key and not term.overlaps(other):
                raise SelectorError(
                    f'the terms on {term.key!r} exclude each other'
                )


def _overlap_existence(one: Term, other: Term) -> bool:
    existence, valued = (one, other) if one.values is None else (other, one)
    if not existence.negated:
        return True
    return valued.negated

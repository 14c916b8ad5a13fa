"""Type and registry of log events."""

from __future__ import annotations

from attrs import frozen


@frozen(kw_only=True, eq=False, repr=False)
class Event:
    """A type of log event; its number and name never change."""

    number: int
    name: str
    level: int
    meaning: str


EVENTS: dict[int, Event] = {}


def declare_event(number: int, name: str, level: int, meaning: str) -> Event:
    """Add a type of log event to the registry."""
    if number in EVENTS:
        raise ValueError(f'event {number} is declared twice')
    event = Event(number=number, name=name, level=level, meaning=meaning)
    EVENTS[number] = event
    return event

"""Types of options, each of which parses and validates its value."""

from __future__ import annotations

from re import fullmatch
from typing import Any

from attrs import field, frozen

from carawaylane.messages.outcomes import Problem

ENV_PREFIX = 'CARAWAY_'


class OptionError(ValueError):
    """The value of an option is not valid."""


@frozen(kw_only=True)
class Option:
    """A setting with a text value, given by a flag or in the environment."""

    name: str
    help: str
    default: Any = None
    required: bool = False

    @property
    def flag(self) -> str:
        """The command-line flag that sets the option."""
        return '--' + self.name.replace('_', '-')

    @property
    def env(self) -> str:
        """The environment variable that sets the option."""
        return ENV_PREFIX + self.name.upper()

    def check(self, text: str) -> Any:
        """Return the parsed value of `text`, or raise OptionError."""
        return text

    def problem(self, reason: str) -> Problem:
        """Return a problem whose place is this option."""
        return Problem(place=f'{self.flag} ({self.env})', reason=reason)


@frozen(kw_only=True)
class Number(Option):
    """A number between `minimum` and `maximum`."""

    minimum: float = 0
    maximum: float = float('inf')
    integer: bool = True

    def check(self, text: str) -> float:
        """Return the number, or raise OptionError."""
        try:
            value = int(text) if self.integer else float(text)
        except ValueError:
            kind = 'an integer' if self.integer else 'a number'
            raise OptionError(f'{text!r} is not {kind}') from None
        if not self.minimum <= value <= self.maximum:
            raise OptionError(
                f'{value} is not between {self.minimum} and {self.maximum}'
            )
        return value


@frozen(kw_only=True)
class Address(Option):
    """An address HOST:PORT with a numeric port."""

    def check(self, text: str) -> str:
        """Return the address, or raise OptionError."""
        host, _, port = text.rpartition(':')
        if not host or not fullmatch('[0-9]{1,5}', port) or int(port) > 65535:
            raise OptionError(f'{text[:64]!r} is not an address HOST:PORT')
        return text


@frozen(kw_only=True)
class Addresses(Option):
    """A list of addresses separated by commas, which may be empty."""

    def check(self, text: str) -> tuple[str, ...]:
        """Return the addresses, or raise OptionError."""
        parts = [part.strip() for part in text.split(',') if part.strip()]
        address_option = Address(name=self.name, help=self.help)
        return tuple(address_option.check(part) for part in parts)


@frozen(kw_only=True)
class Choice(Option):
    """One of a fixed set of values."""

    choices: tuple[str, ...] = field(default=())

    def check(self, text: str) -> str:
        """Return the value, or raise OptionError."""
        if text not in self.choices:
            raise OptionError(
                f'{text!r} is not one of {", ".join(self.choices)}'
            )
        return text


@frozen(kw_only=True)
class Boolean(Option):
    """A boolean, written as true, false, 1 or 0."""

    def check(self, text: str) -> bool:
        """Return the boolean, or raise OptionError."""
        values = {'true': True, '1': True, 'false': False, '0': False}
        if text.lower() not in values:
            raise OptionError(f'{text!r} is neither true nor false')
        return values[text.lower()]


@frozen(kw_only=True)
class Name(Option):
    """A name of letters, digits, `-` and `_`.

    Other characters, such as `@`, have a meaning in the protocol.
    """

    def check(self, text: str) -> str:
        """Return the name, or raise OptionError."""
        alphanumeric = text.replace('-', '').replace('_', '')
        if not alphanumeric.isalnum():
            raise OptionError(
                f'{text!r} has characters other than letters, digits, - and _'
            )
        return text


@frozen(kw_only=True)
class Url(Option):
    """The URL of an HTTP service, as http://HOST:PORT."""

    def check(self, text: str) -> str:
        """Return the URL without a trailing slash, or raise OptionError."""
        if not text.startswith(('http://', 'https://')):
            raise OptionError(f'{text!r} is not an http URL')
        return text.rstrip('/')

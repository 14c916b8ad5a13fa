"""Options of the daemon: each a small class that checks its value."""

from __future__ import annotations

from typing import Any

from attrs import field, frozen

from carawaylane.messages.outcomes import Problem

ENV_PREFIX = 'CARAWAY_'


class OptionError(ValueError):
    """A value that an option does not take."""


@frozen(kw_only=True)
class Option:
    """One setting: text by default, given by flag or environment."""

    name: str
    help: str
    default: Any = None
    required: bool = False

    @property
    def flag(self) -> str:
        """The flag that sets it."""
        return '--' + self.name.replace('_', '-')

    @property
    def env(self) -> str:
        """The environment variable that sets it."""
        return ENV_PREFIX + self.name.upper()

    def check(self, text: str) -> Any:
        """Return the value written in `text`, or raise OptionError."""
        return text

    def problem(self, reason: str) -> Problem:
        """Return a problem that names this option."""
        return Problem(place=f'{self.flag} ({self.env})', reason=reason)


@frozen(kw_only=True)
class Number(Option):
    """A number within bounds."""

    low: float = 0
    high: float = float('inf')
    whole: bool = True

    def check(self, text: str) -> float:
        """Return the number, or raise OptionError."""
        try:
            value = int(text) if self.whole else float(text)
        except ValueError:
            kind = 'a whole number' if self.whole else 'a number'
            raise OptionError(f'{text!r} is not {kind}') from None
        if not self.low <= value <= self.high:
            raise OptionError(f'{value} is not from {self.low} to {self.high}')
        return value


@frozen(kw_only=True)
class Address(Option):
    """HOST:PORT with a numeric port."""

    def check(self, text: str) -> str:
        """Return the address, or raise OptionError."""
        host, _, port = text.rpartition(':')
        if not host or not port.isdecimal() or int(port) > 65535:
            raise OptionError(f'{text!r} is not HOST:PORT')
        return text


@frozen(kw_only=True)
class Addresses(Option):
    """Addresses joined by commas; may be empty."""

    def check(self, text: str) -> tuple[str, ...]:
        """Return the addresses, or raise OptionError."""
        parts = [part.strip() for part in text.split(',') if part.strip()]
        single = Address(name=self.name, help=self.help)
        return tuple(single.check(part) for part in parts)


@frozen(kw_only=True)
class Choice(Option):
    """One of a few words."""

    words: tuple[str, ...] = field(default=())

    def check(self, text: str) -> str:
        """Return the word, or raise OptionError."""
        if text not in self.words:
            raise OptionError(f'{text!r} is none of {", ".join(self.words)}')
        return text


@frozen(kw_only=True)
class Switch(Option):
    """On or off."""

    def check(self, text: str) -> bool:
        """Return whether it is on, or raise OptionError."""
        words = {'true': True, '1': True, 'false': False, '0': False}
        if text.lower() not in words:
            raise OptionError(f'{text!r} is neither true nor false')
        return words[text.lower()]


@frozen(kw_only=True)
class Name(Option):
    """A name without the signs that the protocol uses itself."""

    def check(self, text: str) -> str:
        """Return the name, or raise OptionError."""
        plain = text.replace('-', '').replace('_', '')
        if not plain.isalnum():
            raise OptionError(
                f'{text!r} has signs other than letters, digits, - and _'
            )
        return text


@frozen(kw_only=True)
class Url(Option):
    """Addresses of one HTTP service, as http://HOST:PORT."""

    def check(self, text: str) -> str:
        """Return the URL without a last slash, or raise OptionError."""
        if not text.startswith(('http://', 'https://')):
            raise OptionError(f'{text!r} is not an http URL')
        return text.rstrip('/')

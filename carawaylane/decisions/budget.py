"""Retry budget of one traffic kind."""

from __future__ import annotations

from attrs import define

# Retries that are allowed before any traffic has been seen.
BURST = 3.0
MAX_SAVED = 20.0


@define(kw_only=True)
class RetryBudget:
    """Tokens earned by first attempts and spent by retries."""

    percent: int
    tokens: float = BURST

    def record_first_attempt(self) -> None:
        """Count a first attempt."""
        self.tokens = min(MAX_SAVED, self.tokens + self.percent / 100)

    def try_spend(self) -> bool:
        """Take one retry from the budget, if there is one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

"""Retry budget of one traffic kind."""

from __future__ import annotations

from attrs import define

# Retries allowed before the first requests have added to the budget.
INITIAL_TOKENS = 3.0
MAX_TOKENS = 20.0


@define(kw_only=True)
class RetryBudget:
    """Token bucket that limits retries to a share of the first attempts.

    Each first attempt adds `percent`/100 of a token and each retry takes a
    whole one, so that retries do not multiply the load on failing targets.
    """

    percent: int
    tokens: float = INITIAL_TOKENS

    def record_first_attempt(self) -> None:
        """Add the tokens that a first attempt earns."""
        self.tokens = min(MAX_TOKENS, self.tokens + self.percent / 100)

    def try_spend(self) -> bool:
        """Take the token for one retry; return whether there was one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

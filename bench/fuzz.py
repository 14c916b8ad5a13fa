"""Explores the state machines further and prints the seed.

Usage: python -m bench.fuzz [--seed N] [--steps N]
"""

from __future__ import annotations

import argparse
from random import SystemRandom
from time import monotonic

from hypothesis import HealthCheck, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.decisions.test_at_most_once import FleetMachine

STEPS_PER_EXAMPLE = 100
DEFAULT_STEPS = 100_000


class CountedMachine(FleetMachine):
    """The machine, counting its steps and what callers were told."""

    steps = 0
    told: dict[str, int] = {}  # noqa: RUF012

    def check_invariants(self, *args: object, **kwargs: object) -> None:
        """Count a step."""
        type(self).steps += 1
        super().check_invariants(*args, **kwargs)

    def teardown(self) -> None:
        """Add up what callers were told."""
        for _, what in getattr(self, 'world', None).told:
            self.told[what] = self.told.get(what, 0) + 1


def main() -> None:
    """Run until the wanted number of steps."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=0)
    parser.add_argument('--steps', type=int, default=DEFAULT_STEPS)
    args = parser.parse_args()
    chosen = args.seed or SystemRandom().randrange(1, 2**31)
    print(f'seed {chosen}', flush=True)
    began_s = monotonic()
    rounds = 0
    while CountedMachine.steps < args.steps:
        machine = seed(chosen + rounds)(CountedMachine)
        run_state_machine_as_test(
            machine,
            settings=settings(
                max_examples=200,
                stateful_step_count=STEPS_PER_EXAMPLE,
                deadline=None,
                database=None,
                print_blob=True,
                suppress_health_check=list(HealthCheck),
            ),
        )
        rounds += 1
    took_s = monotonic() - began_s
    print(
        f'{CountedMachine.steps} steps in {took_s:.0f} s: doubles 0, '
        f'false "not run" 0; told {CountedMachine.told}'
    )


if __name__ == '__main__':
    main()

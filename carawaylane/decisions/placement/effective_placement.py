"""Which placement is in effect with the configuration in force."""

from __future__ import annotations

from attrs import define

from carawaylane.messages.platform_objects import Plan
from carawaylane.settings.gateway import Placement


@define(kw_only=True, eq=False, repr=False)
class EffectivePlacement:
    """The placement by the setting and the configuration of a home."""

    setting: Placement
    _plan: Plan | None = None
    _placement: Placement = Placement.RISK

    def with_plan(self, plan: Plan | None) -> Placement:
        """Return COST or RISK; routes are searched once for each plan."""
        if self.setting is not Placement.AUTO:
            return self.setting
        if plan is not self._plan:
            self._plan = plan
            calls_for_cost = plan is not None and (
                bool(plan.customers)
                or any(route.large_answers for route in plan.routes)
            )
            self._placement = (
                Placement.COST if calls_for_cost else Placement.RISK
            )
        return self._placement

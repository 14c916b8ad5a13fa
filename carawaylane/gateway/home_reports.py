"""What an entry tells the homes that it asks, besides its requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define, evolve

from carawaylane.decisions.admission.retry_window import RetryWindow
from carawaylane.decisions.admission.sent_requests import SentRequests
from carawaylane.decisions.placement.learned_digest import Observations
from carawaylane.decisions.targets.backpressure import HeardBackpressure

if TYPE_CHECKING:
    from carawaylane.messages.dispatch import SlotRequest


@define(kw_only=True, repr=False)
class HomeReports:
    """Attempts, requests in flight and what was learned of the targets."""

    retry_window_s: float
    heard: HeardBackpressure
    observations: Observations = Factory(Observations)
    sent: SentRequests = Factory(SentRequests)
    # By service: the attempts of this entry.
    _recent_attempts: dict[str, RetryWindow] = Factory(dict)

    def attempt_window(self, service_name: str) -> RetryWindow:
        """Return the recent attempts of this entry at a service."""
        window = self._recent_attempts.get(service_name)
        if window is None:
            window = RetryWindow(window_s=self.retry_window_s)
            self._recent_attempts[service_name] = window
        return window

    def add_to(
        self,
        request: SlotRequest,
        service_name: str,
        member: str,
        now_s: float,
    ) -> SlotRequest:
        """Return a request with what the home that it is for should know."""
        return evolve(
            request,
            recent_attempts=self.attempt_window(service_name).report_to(
                member, now_s
            ),
            notices=self.heard.report_to(member, now_s, service_name),
            learned=self.observations.digest_for(service_name, member),
            in_flight=self.sent.report_to(service_name, member, now_s),
        )

    def forget_home(self, member: str) -> dict[str, SlotRequest]:
        """Record that a home may have restarted without state.

        Return the last request in flight that it granted, by service.
        """
        self.heard.forget_reports_to(member)
        self.observations.forget_home(member)
        return self.sent.forget_home(member)

"""What an entry has in flight at targets, and which homes know of it.

It is built for services whose home changes while their targets are busy: the
new home would grant slots that are taken, and would mistake the time that
requests queue at the targets for slow work.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

from carawaylane.decisions.admission.results import REPORT_SLACK_S
from carawaylane.messages.dispatch import SlotRequest, Ticket
from carawaylane.messages.in_flight import TargetInFlight

if TYPE_CHECKING:
    from collections.abc import Iterable

# Bound of a report. Each target takes its name and at most TARGET_BYTES, each
# ticket at most TICKET_BYTES.
MAX_REPORT_BYTES = 3000
TARGET_BYTES, TICKET_BYTES = 20, 5


@define(kw_only=True, repr=False)
class _Sent:
    request: SlotRequest
    target: str
    sent_at_s: float
    # The home that granted the request, and others that were told of it.
    home: str
    told: set[str] = Factory(set)

    def is_known_to(self, member: str) -> bool:
        return member == self.home or member in self.told


@define(kw_only=True, repr=False)
class _SentToService:
    """Requests in flight at the targets of a service, the oldest first."""

    requests: dict[Ticket, _Sent] = Factory(dict)
    # Homes that know of all these requests.
    informed: set[str] = Factory(set)

    def drop_overdue(self, now_s: float) -> None:
        """Drop requests that homes have dropped, too."""
        self.requests = {
            ticket: sent
            for ticket, sent in self.requests.items()
            if now_s <= sent.sent_at_s + sent.request.left_s + REPORT_SLACK_S
        }


@define(kw_only=True, repr=False)
class SentRequests:
    """The requests of an entry that are in flight, by service."""

    _services: dict[str, _SentToService] = Factory(dict)

    def record_sent(
        self,
        service: str,
        request: SlotRequest,
        target: str,
        home: str,
        now_s: float,
    ) -> None:
        """Record that a request that a home granted is sent to a target."""
        sent = self._services.setdefault(service, _SentToService())
        sent.requests[request.ticket] = _Sent(
            request=request, target=target, sent_at_s=now_s, home=home
        )
        if sent.informed != {home}:
            # Only the home that granted this request knows of it.
            sent.informed.intersection_update({home})

    def record_ended(self, service: str, ticket: Ticket) -> Iterable[str]:
        """Return the homes, other than the one that granted it, to tell."""
        sent = self._services.get(service)
        ended = sent.requests.pop(ticket, None) if sent else None
        return ended.told if ended else ()

    def report_to(
        self, service: str, member: str, now_s: float
    ) -> tuple[TargetInFlight, ...]:
        """Return the requests in flight of which a home does not know yet."""
        sent = self._services.get(service)
        if sent is None or member in sent.informed:
            return ()
        sent.informed.add(member)
        sent.drop_overdue(now_s)
        by_target: dict[str, list[tuple[Ticket, _Sent]]] = {}
        for ticket, request in sent.requests.items():
            if not request.is_known_to(member):
                by_target.setdefault(request.target, []).append(
                    (ticket, request)
                )
        return _bounded_report(by_target, member, now_s)

    def forget_home(self, member: str) -> dict[str, SlotRequest]:
        """Record that a home may have restarted without state.

        Return the last request in flight that it granted, by service.
        """
        last_granted = {}
        for service, sent in self._services.items():
            sent.informed.discard(member)
            for request in sent.requests.values():
                request.told.discard(member)
                if request.home == member:
                    request.home = ''
                    last_granted[service] = request.request
        return last_granted


def _bounded_report(
    by_target: dict[str, list[tuple[Ticket, _Sent]]],
    member: str,
    now_s: float,
) -> tuple[TargetInFlight, ...]:
    """Return a report within MAX_REPORT_BYTES, the busiest targets first."""
    left_bytes = MAX_REPORT_BYTES
    report = []
    for target, requests in sorted(
        by_target.items(), key=lambda item: -len(item[1])
    ):
        left_bytes -= len(target.encode()) + TARGET_BYTES
        if left_bytes < 0:
            break
        named = requests[: left_bytes // TICKET_BYTES]
        left_bytes -= len(named) * TICKET_BYTES
        for _, request in named:
            request.told.add(member)
        report.append(
            TargetInFlight(
                target=target,
                requests=len(requests),
                oldest_age_s=now_s - requests[0][1].sent_at_s,
                numbers=tuple(ticket[1] for ticket, _ in named),
            )
        )
    return tuple(report)

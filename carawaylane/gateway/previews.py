"""Answers an operator who asks where a request would go, and why.

A node that is asked as the entry tells what it would ask which homes; a home
tells what it would reply. Neither sends, queues or counts anything.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from carawaylane.gateway.dispatch import MAX_HOMES_TRIED
from carawaylane.messages.dispatch import SlotRequest
from carawaylane.rpc.fleet_codec import pack_slot_request, unpack_slot_request
from carawaylane.rpc.fleet_pb2 import LocateReply
from carawaylane.rpc.preview_codec import pack_preview

if TYPE_CHECKING:
    from carawaylane.kernel.kernel import Kernel
    from carawaylane.messages.platform_objects import Customer, Plan, Route
    from carawaylane.rpc.fleet_pb2 import (
        LocateRequest,
        PreviewReply,
        PreviewRequest,
    )


class Previews:
    """Looks up, without effects, where requests would go."""

    def __init__(self, *, kernel: Kernel) -> None:
        self._kernel = kernel
        self._directory = kernel.find('directory')
        self._dispatchers = kernel.find('dispatchers')
        self._forwarding = kernel.find('forwarding')

    def locate(self, msg: LocateRequest) -> LocateReply:
        """Return what this node would ask which homes for a request."""
        plan = self._directory.plan
        if plan is None:
            return LocateReply(problem=LocateReply.NO_CONFIGURATION)
        reply = LocateReply(
            version=plan.version,
            entry=self._kernel.member,
            data_centre=self._kernel.cfg.data_centre,
        )
        route = self._find_route(plan, msg)
        customer = _find_customer(plan, msg.customer)
        if route is None:
            reply.problem = LocateReply.NO_ROUTE
        elif msg.customer and customer is None:
            reply.problem = LocateReply.NO_CUSTOMER
        elif not (service := _find_service(route, msg.service)):
            reply.problem = LocateReply.NO_SERVICE
        else:
            request = self._slot_request(route, customer, msg)
            reply.ask.CopyFrom(pack_slot_request(request, service))
            reply.homes.extend(self._homes(service))
            if not self._directory.targets_of(service):
                reply.problem = LocateReply.NO_TARGETS
        return reply

    def preview(self, msg: PreviewRequest) -> PreviewReply:
        """Return what this node would reply to a request as its home."""
        request = unpack_slot_request(msg.ask, msg.entry, msg.data_centre)
        return pack_preview(
            self._dispatchers.preview(msg.ask.service, request)
        )

    def _find_route(self, plan: Plan, msg: LocateRequest) -> Route | None:
        if not msg.route:
            path = msg.path.partition('?')[0]
            found: Route | None = self._directory.route_table.find(
                msg.host.lower(), path
            )
            return found
        return next(
            (route for route in plan.routes if route.name == msg.route), None
        )

    def _slot_request(
        self, route: Route, customer: Customer | None, msg: LocateRequest
    ) -> SlotRequest:
        priority = route.priority
        if customer is not None and customer.priority is not None:
            priority = customer.priority
        return SlotRequest(
            ticket=(self._kernel.member, 0),
            data_centre=self._kernel.cfg.data_centre,
            route=route.name,
            priority=priority,
            customer=customer.name if customer is not None else '',
            idempotent=route.idempotent,
            left_s=route.timeout_s,
            objective_s=route.objective_s,
            request_bytes=msg.request_bytes,
            method=msg.method,
            path_shape=self._forwarding.path_shapes.known_shape(
                route.name, msg.path
            )
            if msg.path
            else '',
            large_answers=route.large_answers,
        )

    def _homes(self, service: str) -> list[LocateReply.Home]:
        members = self._directory.members
        names = self._directory.ranked_members(service)[:MAX_HOMES_TRIED]
        return [
            LocateReply.Home(name=name, address=members[name].address)
            for name in names
        ]


def _find_customer(plan: Plan, name: str) -> Customer | None:
    return next(
        (customer for customer in plan.customers if customer.name == name),
        None,
    )


def _find_service(route: Route, name: str) -> str:
    """Return the service of the largest share, or one that is named.

    Empty if the route does not lead to it.
    """
    if not name:
        return max(route.traffic_split, key=lambda item: item.weight).service
    return (
        name
        if any(item.service == name for item in route.traffic_split)
        else ''
    )

"""A node's copy of the platform's routes, targets and members.

The other services of the node look them up here; the copy is kept up to date
from the platform's store and from peers.
"""

from __future__ import annotations

from asyncio import Event, get_running_loop
from typing import TYPE_CHECKING, Any

from attrs import evolve, frozen

from carawaylane.decisions.customers.keys import KeyRing
from carawaylane.decisions.propagation.dissemination import (
    CORES_EXPONENT,
    FEW_DUTIES_CORES_EXPONENT,
    order_by_link,
    rank_members,
)
from carawaylane.decisions.propagation.replica import ObjectReplica
from carawaylane.decisions.propagation.store_outages import StoreOutages
from carawaylane.decisions.routing.route_table import RouteTable
from carawaylane.gateway.plan_adoption import PlanAdoption, is_large
from carawaylane.gateway.rejected_objects import RejectedObjects
from carawaylane.kernel.service import Actor, Service, service
from carawaylane.messages.platform_objects import (
    InvalidObject,
    Member,
    Plan,
    TargetSpec,
)
from carawaylane.messages.stored_objects import (
    ObjectDelta,
    ObjectKind,
    StoredObject,
    era_of,
    revision_in_era,
)
from carawaylane.platform.documents import (
    decode_member,
    decode_plan,
    decode_target,
)
from carawaylane.platform.plan_compiler import CompiledPlan
from carawaylane.telemetry.events import (
    CONFIG_IN_FORCE,
    MEMBERS_MOVED,
    STORE_RESTORED,
    TARGETS_MOVED,
    emit,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from carawaylane.decisions.propagation.segments import SegmentedText
    from carawaylane.kernel.kernel import Kernel


@frozen(kw_only=True, eq=False, repr=False)
class TargetsChanged:
    """Message: targets of the services were added, removed or changed."""

    services: frozenset[str]


@service('directory')
class Directory(Service):
    """Keeps copies of the platform's objects, as stored and as decoded.

    `replicas` holds the stored objects with their revisions; `plan`,
    `route_table`, `key_ring`, `targets` and `members` are decoded from them.
    Objects that can't be decoded are `rejected` and left out. A target or
    member that is known counts as gone with the first such revision.
    """

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.replicas = {kind: ObjectReplica() for kind in ObjectKind}
        self.outages = StoreOutages(
            name=kernel.cfg.name, answered_at_s=kernel.now_s()
        )
        self.rejected = RejectedObjects(kernel=kernel)
        self.plan: Plan | None = None
        self.route_table = RouteTable(routes=())
        self.key_ring = KeyRing(customers=())
        self.targets: dict[str, TargetSpec] = {}
        self.members: dict[str, Member] = {}
        self._subscribers: list[Actor] = []
        self._ranked_names: dict[tuple[str, str | None, int], list[str]] = {}
        self.adoption = PlanAdoption(
            svc=self,
            on_compiled=self._put_in_force,
            on_invalid=self._reject_plan,
        )
        # The newest version of which this node knows, and the newest one that
        # is in force or was rejected.
        self._newest_plan_revision = 0
        self._settled_plan_revision = 0
        # Set, and replaced, when a version is put in force or rejected.
        self.plan_settled = Event()
        # Set once both routes and targets have been received.
        self.first_copies = Event()

    def subscribe(self, subscriber: Actor) -> None:
        """Post `TargetsChanged` to the actor whenever targets change."""
        self._subscribers.append(subscriber)

    def has_routes_and_targets(self) -> bool:
        """Return whether both have been received, from the store or a peer."""
        return self.plan is not None and self.has_targets()

    def has_targets(self) -> bool:
        """Return whether the list of targets has been received."""
        return self.replicas[ObjectKind.TARGETS].revision > 0

    def targets_of(self, service_name: str) -> list[TargetSpec]:
        """Return the targets of a service."""
        return [
            target
            for target in self.targets.values()
            if target.service == service_name
        ]

    def members_of(self, data_centre: str | None = None) -> list[Member]:
        """Return the members of a data centre, or of all for None."""
        return [
            member
            for member in self.members.values()
            if data_centre in (None, member.data_centre)
        ]

    def add_member(self, member: Member) -> None:
        """Add a member that the store may not list yet."""
        self.members[member.name] = member
        self._ranked_names.clear()

    def ranked_members(
        self,
        seed: str,
        data_centre: str | None = None,
        exponent: int = CORES_EXPONENT,
    ) -> list[str]:
        """Return the names of members, in order of their rendezvous hash.

        They are the members of a data centre, or all for None. The exponent
        is that of the cores in their weights.
        """
        key = (seed, data_centre, exponent)
        names = self._ranked_names.get(key)
        if names is None:
            names = rank_members(self.members_of(data_centre), seed, exponent)
            self._ranked_names[key] = names
        return names

    def ranked_for_few_duties(self, seed: str) -> list[str]:
        """Return the names of members for a duty that needs a large host."""
        return self.ranked_members(seed, exponent=FEW_DUTIES_CORES_EXPONENT)

    def order_by_link(self, addresses: Iterable[str]) -> list[str]:
        """Return addresses of members, those with the fastest links first.

        Addresses of nodes that are not listed come last.
        """
        wanted = list(addresses)
        remaining = set(wanted)
        ordered = [
            member.address
            for member in order_by_link(self.members.values())
            if member.address in remaining
        ]
        listed = set(ordered)
        return ordered + [item for item in wanted if item not in listed]

    def apply_delta(
        self,
        kind: ObjectKind,
        delta: ObjectDelta,
        age_s: float,
        source: str,
        text: SegmentedText | None = None,
    ) -> bool:
        """Apply changes that the store confirmed `age_s` ago.

        `source` says in the log where they came from, `text` is the large
        configuration in them if it came as a patch.
        Returns False, and changes nothing, if the copy lacks changes that
        precede the delta.
        """
        now_s = self.kernel.now_s()
        replica = self.replicas[kind]
        revision_before = replica.revision
        changed_names = replica.apply(delta, now_s)
        if changed_names is None:
            return False
        self._record_restore(kind, revision_before)
        if delta.revision >= replica.revision:
            self.mark_confirmed(kind, age_s)
        if changed_names:
            items = [replica.items[name] for name in changed_names]
            if kind is ObjectKind.PLAN:
                self._update_plan(items, source, text)
            else:
                _UPDATE_METHODS[kind](self, items, source)
        if self.has_routes_and_targets():
            self.first_copies.set()
        return True

    def mark_confirmed(self, kind: ObjectKind, age_s: float) -> None:
        """Record that the store confirmed a copy `age_s` ago."""
        now_s = self.kernel.now_s()
        self.replicas[kind].mark_confirmed(now_s, age_s)
        self.outages.record_answer(now_s - age_s)

    def _record_restore(self, kind: ObjectKind, revision_before: int) -> None:
        revision = self.replicas[kind].revision
        if revision_before and era_of(revision) != era_of(revision_before):
            self.outages.record_restore(era_of(revision), self.kernel.now_s())
            emit(
                STORE_RESTORED,
                kind=kind.name,
                era=era_of(revision),
                revision=revision_in_era(revision),
                era_before=era_of(revision_before),
                revision_before=revision_in_era(revision_before),
            )

    def _update_plan(
        self,
        items: Iterable[StoredObject],
        source: str,
        text: SegmentedText | None,
    ) -> None:
        """Put the newest version in force.

        It stays in force if its object is removed.
        """
        for item in items:
            if item.data is None:
                continue
            self.record_newer_plan(item.revision)
            if is_large(item):
                self.adoption.adopt(item, source, text)
            else:
                self.adoption.reset()
                self._update_small_plan(item, source)

    def _update_small_plan(self, item: StoredObject, source: str) -> None:
        plan = decode_plan(item.name, item.data or b'')
        if isinstance(plan, InvalidObject):
            self._reject_plan(plan, item)
            return
        compiled = CompiledPlan(
            revision=item.revision,
            plan=plan,
            route_table=RouteTable(routes=plan.routes),
            key_ring=KeyRing(customers=plan.customers),
            routes={},
            customers={},
        )
        self._put_in_force(compiled, item, source)

    def _put_in_force(
        self, compiled: CompiledPlan, item: StoredObject, source: str
    ) -> None:
        """Put a version in force unless there is a newer one."""
        plan = compiled.plan
        self.rejected.discard(ObjectKind.PLAN, item.name)
        if self.plan is None or plan.version > self.plan.version:
            self.plan = plan
            self.route_table = compiled.route_table
            self.key_ring = compiled.key_ring
            emit(
                CONFIG_IN_FORCE,
                version=plan.version,
                routes=len(plan.routes),
                revision=revision_in_era(item.revision),
                source=source,
            )
        self._settle_plan(item)
        if self.has_routes_and_targets():
            self.first_copies.set()

    def _reject_plan(self, invalid: InvalidObject, item: StoredObject) -> None:
        self.rejected.add(ObjectKind.PLAN, invalid, item.revision)
        self._settle_plan(item)

    def record_newer_plan(self, revision: int) -> None:
        """Record that there is a version, which this node may not have."""
        self._newest_plan_revision = max(self._newest_plan_revision, revision)

    def is_outdated(self) -> bool:
        """Return whether there is a version that is not in force here yet."""
        return self._newest_plan_revision > self._settled_plan_revision

    def _settle_plan(self, item: StoredObject) -> None:
        self._settled_plan_revision = item.revision
        self.plan_settled.set()
        self.plan_settled = Event()

    def _update_targets(
        self, items: Iterable[StoredObject], _source: str
    ) -> None:
        changed_services: set[str] = set()
        for item in items:
            if self._keep_lapsed(ObjectKind.TARGETS, item):
                continue
            target = self.rejected.decode(
                ObjectKind.TARGETS, item, decode_target
            )
            changed_services |= self._replace_target(item.name, target)
        self._publish_changes(changed_services)

    def _replace_target(
        self, name: str, target: TargetSpec | None
    ) -> set[str]:
        """Replace or remove a target; return the services that changed."""
        previous = self.targets.pop(name, None)
        if target is not None:
            self.targets[name] = target
        if previous == target:
            return set()
        return {
            spec.service for spec in (previous, target) if spec is not None
        }

    def _keep_lapsed(self, kind: ObjectKind, item: StoredObject) -> bool:
        """Return whether a removed object is kept for a while."""
        grace_s = self.outages.grace_left_s(self.kernel.now_s())
        if item.data is not None or not item.lapsed or not grace_s:
            return False
        get_running_loop().call_later(
            grace_s, self._end_lapse, kind, item.name
        )
        return True

    def _end_lapse(self, kind: ObjectKind, name: str) -> None:
        """Remove an object that has not been written again."""
        item = self.replicas[kind].items.get(name)
        if item is not None and item.data is None:
            gone = evolve(item, lapsed=False)
            self.replicas[kind].items[name] = gone
            _UPDATE_METHODS[kind](self, [gone], 'store')

    def _publish_changes(self, changed_services: set[str]) -> None:
        if not changed_services:
            return
        emit(
            TARGETS_MOVED,
            services=sorted(changed_services),
            targets=len(self.targets),
            revision=revision_in_era(
                self.replicas[ObjectKind.TARGETS].revision
            ),
        )
        for subscriber in self._subscribers:
            subscriber.post(
                TargetsChanged(services=frozenset(changed_services))
            )

    def _update_members(
        self, items: Iterable[StoredObject], _source: str
    ) -> None:
        self._ranked_names.clear()
        for item in items:
            if self._keep_lapsed(ObjectKind.MEMBERS, item):
                continue
            member = self.rejected.decode(
                ObjectKind.MEMBERS, item, decode_member
            )
            if member is not None:
                self.members[item.name] = member
            else:
                self.members.pop(item.name, None)
        self._log_members()

    def _log_members(self) -> None:
        emit(
            MEMBERS_MOVED,
            members=len(self.members),
            revision=revision_in_era(
                self.replicas[ObjectKind.MEMBERS].revision
            ),
        )


_UPDATE_METHODS: dict[
    ObjectKind, Callable[[Any, Iterable[StoredObject], str], None]
] = {
    ObjectKind.TARGETS: Directory._update_targets,
    ObjectKind.MEMBERS: Directory._update_members,
}

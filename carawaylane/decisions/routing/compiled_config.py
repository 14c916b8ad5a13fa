"""The configuration, indexed for the look-ups that each request needs.

It is built from the operators' documents and updated document by document.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

from carawaylane.config.schema import Service, Target, TrafficKind
from carawaylane.decisions.ownership.placement import targets_in_shard
from carawaylane.decisions.routing.selector import parse_selector
from carawaylane.decisions.routing.selector_index import SelectorIndex
from carawaylane.decisions.routing.traffic_kinds import TrafficKindTable

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaylane.config.state import ConfigState, DocumentKey


@define(kw_only=True)
class CompiledConfig:
    """Traffic kinds by selector, and services with their targets by name.

    `targets` holds the targets of each service by name, `service_of_target`
    the service that selects a target.
    """

    traffic_kinds: TrafficKindTable = Factory(TrafficKindTable)
    services: dict[str, Service] = Factory(dict)
    service_selectors: SelectorIndex = Factory(SelectorIndex)
    targets: dict[str, dict[str, Target]] = Factory(dict)
    service_of_target: dict[str, str] = Factory(dict)

    def rebuild(self, state: ConfigState) -> set[str]:
        """Replace everything by a configuration; return its services."""
        self.traffic_kinds = TrafficKindTable.build(state.traffic_kinds())
        self.services = {service.name: service for service in state.services()}
        self.service_selectors = SelectorIndex()
        self.service_selectors.add_all(
            (name, parse_selector(service.selector))
            for name, service in self.services.items()
        )
        self.targets = {name: {} for name in self.services}
        self.service_of_target = {}
        for target in state.targets():
            self._add_target(target)
        return set(self.services)

    def update(
        self, state: ConfigState, changed: Iterable[DocumentKey]
    ) -> set[str]:
        """Apply changed documents.

        Return the services whose document or set of targets may differ.
        """
        affected: set[str] = set()
        for kind, name in changed:
            doc = state.docs.get((kind, name))
            if kind == TrafficKind.__name__:
                self._apply_traffic_kind(name, doc)
            elif kind == Target.__name__:
                affected |= self._apply_target(name, doc)
            else:
                affected |= self._apply_service(name, doc, state)
        return affected

    def shard_targets(self, service: str, shard: int) -> list[Target]:
        """Return the targets of one shard of a service."""
        spec = self.services.get(service)
        if spec is None:
            return []
        by_name = self.targets[service]
        ordered = [by_name[name] for name in sorted(by_name)]
        return targets_in_shard(spec, ordered, shard)

    def _apply_traffic_kind(self, name: str, doc: object) -> None:
        if isinstance(doc, TrafficKind):
            self.traffic_kinds.put(doc)
        else:
            self.traffic_kinds.remove(name)

    def _apply_target(self, name: str, doc: object) -> set[str]:
        affected: set[str] = set()
        old_service = self.service_of_target.pop(name, None)
        if old_service is not None:
            self.targets.get(old_service, {}).pop(name, None)
            affected.add(old_service)
        if isinstance(doc, Target):
            affected |= self._add_target(doc)
        return affected

    def _apply_service(
        self, name: str, doc: object, state: ConfigState
    ) -> set[str]:
        for target_name in self.targets.pop(name, {}):
            self.service_of_target.pop(target_name, None)
        self.services.pop(name, None)
        self.service_selectors.remove(name)
        if isinstance(doc, Service):
            self.services[name] = doc
            self.targets[name] = {}
            selector = parse_selector(doc.selector)
            self.service_selectors.put(name, selector)
            for target in state.targets():
                if selector.matches(target.labels):
                    self._assign_target(name, target)
        return {name}

    def _add_target(self, target: Target) -> set[str]:
        # The check of a configuration rejects targets that two services
        # select, so the first match is the only one.
        for name in self.service_selectors.matching(target.labels):
            self._assign_target(name, target)
            return {name}
        return set()

    def _assign_target(self, service: str, target: Target) -> None:
        self.targets[service][target.name] = target
        self.service_of_target[target.name] = service

"""The configuration in the form that requests need, kept up to date."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

from carawaylane.config.schema import Service, Target, TrafficKind
from carawaylane.decisions.placement import targets_of_shard
from carawaylane.decisions.routing import TrafficKindTable
from carawaylane.decisions.selector import parse_selector
from carawaylane.decisions.selector_index import SelectorIndex

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawaylane.config.state import ConfigState, DocumentKey


@define(kw_only=True)
class CompiledConfig:
    """Routes, services and the targets of each service."""

    traffic_kinds: TrafficKindTable = Factory(TrafficKindTable)
    services: dict[str, Service] = Factory(dict)
    selectors: SelectorIndex = Factory(SelectorIndex)
    targets: dict[str, dict[str, Target]] = Factory(dict)
    service_of: dict[str, str] = Factory(dict)

    def rebuild(self, state: ConfigState) -> set[str]:
        """Take over a whole configuration; return all services."""
        self.traffic_kinds = TrafficKindTable.build(state.traffic_kinds())
        self.services = {each.name: each for each in state.services()}
        self.selectors = SelectorIndex()
        self.selectors.add_all(
            (name, parse_selector(spec.selector))
            for name, spec in self.services.items()
        )
        self.targets = {name: {} for name in self.services}
        self.service_of = {}
        for target in state.targets():
            self._put_target(target)
        return set(self.services)

    def update(
        self, state: ConfigState, changed: Iterable[DocumentKey]
    ) -> set[str]:
        """Follow changed documents; return the services they concern."""
        touched: set[str] = set()
        for kind, name in changed:
            doc = state.docs.get((kind, name))
            if kind == TrafficKind.__name__:
                self._follow_kind(name, doc)
            elif kind == Target.__name__:
                touched |= self._follow_target(name, doc)
            else:
                touched |= self._follow_service(name, doc, state)
        return touched

    def shard_targets(self, service: str, shard: int) -> list[Target]:
        """Return the targets of one shard."""
        spec = self.services.get(service)
        if spec is None:
            return []
        found = self.targets[service]
        ordered = [found[name] for name in sorted(found)]
        return targets_of_shard(spec, ordered, shard)

    def _follow_kind(self, name: str, doc: object) -> None:
        if isinstance(doc, TrafficKind):
            self.traffic_kinds.put(doc)
        else:
            self.traffic_kinds.remove(name)

    def _follow_target(self, name: str, doc: object) -> set[str]:
        touched: set[str] = set()
        old = self.service_of.pop(name, None)
        if old is not None:
            self.targets.get(old, {}).pop(name, None)
            touched.add(old)
        if isinstance(doc, Target):
            touched |= self._put_target(doc)
        return touched

    def _follow_service(
        self, name: str, doc: object, state: ConfigState
    ) -> set[str]:
        for gone in self.targets.pop(name, {}):
            self.service_of.pop(gone, None)
        self.services.pop(name, None)
        self.selectors.remove(name)
        if isinstance(doc, Service):
            self.services[name] = doc
            self.targets[name] = {}
            sel = parse_selector(doc.selector)
            self.selectors.put(name, sel)
            for target in state.targets():
                if sel.matches(target.labels):
                    self._place(name, target)
        return {name}

    def _put_target(self, target: Target) -> set[str]:
        # A configuration is accepted only if no target has two services.
        for name in self.selectors.matching(target.labels):
            self._place(name, target)
            return {name}
        return set()

    def _place(self, service: str, target: Target) -> None:
        self.targets[service][target.name] = target
        self.service_of[target.name] = service

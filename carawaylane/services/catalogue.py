"""The compiled configuration that this node serves requests with."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from carawaylane.decisions.routing.compiled_config import CompiledConfig
from carawaylane.kernel.service import Actor, handles, service
from carawaylane.messages.logs import ConfigChanged

if TYPE_CHECKING:
    from carawaylane.kernel.kernel import Kernel


@frozen(kw_only=True)
class ServicesChanged:
    """Names of services whose documents or targets may have changed."""

    names: frozenset[str]


@service('catalogue')
class Catalogue(Actor):
    """Owns the compiled configuration, which other services read.

    `applied_seq` is the sequence number of the configuration log up to which
    it is compiled.
    """

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.config = CompiledConfig()
        self.applied_seq = 0
        self._subscribers: list[Actor] = []

    async def start(self) -> None:
        """Subscribe to the replica of the configuration log."""
        await super().start()
        self._relay = self.kernel.find('relay')
        self._relay.subscribe_config(self)

    def subscribe(self, actor: Actor) -> None:
        """Post ServicesChanged to an actor, now and at each change."""
        self._subscribers.append(actor)
        names = frozenset(self.config.services)
        actor.post(ServicesChanged(names=names))

    @handles(ConfigChanged)
    def _apply_config_change(self, msg: ConfigChanged) -> None:
        state = self._relay.config
        if msg.changed is None:
            old_services = set(self.config.services)
            affected = self.config.rebuild(state) | old_services
        else:
            affected = self.config.update(state, msg.changed)
        self.applied_seq = max(self.applied_seq, msg.seq)
        for actor in self._subscribers:
            actor.post(ServicesChanged(names=frozenset(affected)))

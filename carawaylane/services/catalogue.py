"""The configuration in force on this node, ready for requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from carawaylane.decisions.compiled_config import CompiledConfig
from carawaylane.kernel.service import Actor, handles, service
from carawaylane.messages.logs import ConfigChanged

if TYPE_CHECKING:
    from carawaylane.kernel.kernel import Kernel


@frozen(kw_only=True)
class ServicesTouched:
    """Services whose documents or targets changed."""

    names: frozenset[str]


@service('catalogue')
class Catalogue(Actor):
    """Owns the compiled configuration; others read it."""

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.config = CompiledConfig()
        self.applied_seq = 0
        self._listeners: list[Actor] = []

    async def start(self) -> None:
        """Follow the configuration log."""
        await super().start()
        self._relay = self.kernel.find('relay')
        self._relay.tell_config(self)

    def tell(self, actor: Actor) -> None:
        """Post ServicesTouched to an actor from now on."""
        self._listeners.append(actor)
        names = frozenset(self.config.services)
        actor.post(ServicesTouched(names=names))

    @handles(ConfigChanged)
    def _moved(self, msg: ConfigChanged) -> None:
        config = self._relay.config
        if msg.changed is None:
            before = set(self.config.services)
            touched = self.config.rebuild(config) | before
        else:
            touched = self.config.update(config, msg.changed)
        self.applied_seq = max(self.applied_seq, msg.seq)
        for actor in self._listeners:
            actor.post(ServicesTouched(names=frozenset(touched)))

"""Reading and changing the configuration on the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING
from uuid import uuid4

from attrs import frozen

from carawaylane.config.check import check_change
from carawaylane.config.documents import to_json
from carawaylane.config.schema import Document, kind_of
from carawaylane.config.state import ConfigState, DocumentKey
from carawaylane.decisions.changelog import LogReplica
from carawaylane.decisions.fleet import FleetState
from carawaylane.messages.outcomes import CheckReport, Problem
from carawaylane.storage.driver import Unavailable
from carawaylane.storage.log import Appended, LogStore

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawaylane.decisions.changelog import LogState
    from carawaylane.storage.driver import PlatformDriver

APPEND_TRIES = 20


@frozen(kw_only=True)
class Draft:
    """Documents to write and to delete."""

    put: tuple[Document, ...] = ()
    delete: tuple[DocumentKey, ...] = ()

    def keys(self) -> set[DocumentKey]:
        """Return what the draft touches."""
        put = {(kind_of(doc), doc.name) for doc in self.put}
        return put | set(self.delete)


@frozen(kw_only=True)
class Accepted:
    """A change that has its place, and warnings about it."""

    seq: int
    put: int
    deleted: int
    warnings: tuple[Problem, ...] = ()


@frozen(kw_only=True)
class LostRace:
    """Another author changed the same documents meanwhile."""

    seq: int
    author: str
    keys: tuple[DocumentKey, ...]


Applied = Accepted | LostRace | CheckReport | Unavailable


async def load_log(
    driver: PlatformDriver, name: str, state: LogState
) -> LogReplica | Unavailable:
    """Return a log as the platform has it now."""
    replica = LogReplica(name=name, state=state)
    batch = await LogStore(driver=driver, name=name).load(0)
    if isinstance(batch, Unavailable):
        return batch
    replica.apply_batch(batch)
    return replica


async def load_config(
    driver: PlatformDriver,
) -> tuple[ConfigState, int] | Unavailable:
    """Return the configuration and its version."""
    state = ConfigState()
    replica = await load_log(driver, 'config', state)
    if isinstance(replica, Unavailable):
        return replica
    return state, replica.seq


async def load_fleet(driver: PlatformDriver) -> FleetState | Unavailable:
    """Return the members and owners."""
    state = FleetState()
    replica = await load_log(driver, 'fleet', state)
    return replica if isinstance(replica, Unavailable) else state


async def change_config(
    driver: PlatformDriver,
    author: str,
    make: Callable[[ConfigState], Draft | CheckReport],
    *,
    if_version: int | None = None,
) -> Applied:
    """Check a change against the whole configuration and append it.

    `make` builds the draft from the state. When another author gets in
    between with the same documents, the change is lost and says to whom;
    with other documents, the check is made anew.
    """
    state = ConfigState()
    replica = LogReplica(name='config', state=state)
    store = LogStore(driver=driver, name='config')
    first: set[DocumentKey] | None = None
    base = 0
    for _ in range(APPEND_TRIES):
        batch = await store.load(replica.seq)
        if isinstance(batch, Unavailable):
            return batch
        replica.apply_batch(batch)
        draft = make(state)
        if isinstance(draft, CheckReport):
            return draft
        if first is None:
            base = replica.seq if if_version is None else if_version
            first = draft.keys()
        lost = _lost_to(replica, state, first | draft.keys(), base)
        if lost is not None:
            return lost
        report = check_change(state.docs, draft.put, draft.delete)
        if not report.ok:
            return report
        done = await store.append(
            seq=replica.seq + 1, body=_body(draft, author), nonce=uuid4().hex
        )
        if isinstance(done, Unavailable):
            return done
        if isinstance(done, Appended):
            return Accepted(
                seq=done.change.seq,
                put=len(draft.put),
                deleted=len(draft.delete),
                warnings=report.warnings,
            )
    return Unavailable(reason='other authors kept winning the race')


def _lost_to(
    replica: LogReplica,
    state: ConfigState,
    keys: set[DocumentKey],
    base: int,
) -> LostRace | None:
    newer = [key for key in keys if state.last_changed_seq.get(key, 0) > base]
    if not newer:
        return None
    seq = max(state.last_changed_seq[key] for key in newer)
    change = replica.recent.get(seq)
    author = change.body.get('author', '') if change else ''
    return LostRace(seq=seq, author=author, keys=tuple(sorted(newer)))


def _body(draft: Draft, author: str) -> dict[str, object]:
    return {
        'author': author,
        'put': [to_json(doc) for doc in draft.put],
        'delete': [list(key) for key in draft.delete],
    }

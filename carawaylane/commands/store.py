"""Reads and changes the configuration kept on the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING
from uuid import uuid4

from attrs import frozen

from carawaylane.config.check import check_change
from carawaylane.config.documents import to_json
from carawaylane.config.schema import Document, kind_of
from carawaylane.config.state import ConfigState, DocumentKey
from carawaylane.decisions.ownership.changelog import LogReplica
from carawaylane.decisions.ownership.fleet import FleetState
from carawaylane.messages.outcomes import CheckReport, Problem
from carawaylane.storage.driver import Unavailable
from carawaylane.storage.log import Appended, LogStore

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawaylane.decisions.ownership.changelog import LogState
    from carawaylane.storage.driver import PlatformDriver

MAX_APPEND_ATTEMPTS = 20


@frozen(kw_only=True)
class ConfigChange:
    """A proposed change: documents to write and documents to delete."""

    put: tuple[Document, ...] = ()
    delete: tuple[DocumentKey, ...] = ()

    def keys(self) -> set[DocumentKey]:
        """Return the keys of all documents written or deleted."""
        put_keys = {(kind_of(doc), doc.name) for doc in self.put}
        return put_keys | set(self.delete)


@frozen(kw_only=True)
class Accepted:
    """A change that was appended to the log as version `seq`.

    `put` and `deleted` count documents.
    """

    seq: int
    put: int
    deleted: int
    warnings: tuple[Problem, ...] = ()


@frozen(kw_only=True)
class EditConflict:
    """The change was refused: another one wrote the same documents first.

    `seq` and `author` are those of the other change, `keys` the documents
    that both changes touch.
    """

    seq: int
    author: str
    keys: tuple[DocumentKey, ...]


ChangeResult = Accepted | EditConflict | CheckReport | Unavailable


async def load_log(
    driver: PlatformDriver, name: str, state: LogState
) -> LogReplica | Unavailable:
    """Read a whole log from the platform into `state`."""
    replica = LogReplica(name=name, state=state)
    batch = await LogStore(driver=driver, name=name).load(0)
    if isinstance(batch, Unavailable):
        return batch
    replica.apply_batch(batch)
    return replica


async def load_config(
    driver: PlatformDriver,
) -> tuple[ConfigState, int] | Unavailable:
    """Read the configuration; return it with its version."""
    state = ConfigState()
    replica = await load_log(driver, 'config', state)
    if isinstance(replica, Unavailable):
        return replica
    return state, replica.seq


async def load_fleet(driver: PlatformDriver) -> FleetState | Unavailable:
    """Read the members of the fleet and the owners of shards."""
    state = FleetState()
    replica = await load_log(driver, 'fleet', state)
    return replica if isinstance(replica, Unavailable) else state


async def change_config(
    driver: PlatformDriver,
    author: str,
    make_change: Callable[[ConfigState], ConfigChange | CheckReport],
    *,
    if_version: int | None = None,
) -> ChangeResult:
    """Check a change against the whole configuration and append it.

    `make_change` builds the change from the current state. If another author
    writes to the log first, the change is built and checked again on the new
    state; if that author changed the same documents, EditConflict is returned.
    With `if_version`, any of these documents that changed after this version
    is a conflict.
    """
    state = ConfigState()
    replica = LogReplica(name='config', state=state)
    store = LogStore(driver=driver, name='config')
    first_keys: set[DocumentKey] | None = None
    base_seq = 0
    for _ in range(MAX_APPEND_ATTEMPTS):
        batch = await store.load(replica.seq)
        if isinstance(batch, Unavailable):
            return batch
        replica.apply_batch(batch)
        change = make_change(state)
        if isinstance(change, CheckReport):
            return change
        if first_keys is None:
            base_seq = replica.seq if if_version is None else if_version
            first_keys = change.keys()
        conflict = _find_conflict(
            replica, state, first_keys | change.keys(), base_seq
        )
        if conflict is not None:
            return conflict
        report = check_change(state.docs, change.put, change.delete)
        if not report.ok:
            return report
        result = await store.append(
            seq=replica.seq + 1,
            body=_log_entry(change, author),
            nonce=uuid4().hex,
        )
        if isinstance(result, Unavailable):
            return result
        if isinstance(result, Appended):
            return Accepted(
                seq=result.change.seq,
                put=len(change.put),
                deleted=len(change.delete),
                warnings=report.warnings,
            )
    return Unavailable(
        reason='other authors kept changing the configuration first'
    )


def _find_conflict(
    replica: LogReplica,
    state: ConfigState,
    keys: set[DocumentKey],
    base_seq: int,
) -> EditConflict | None:
    changed_keys = [
        key for key in keys if state.last_changed_seq.get(key, 0) > base_seq
    ]
    if not changed_keys:
        return None
    seq = max(state.last_changed_seq[key] for key in changed_keys)
    change = replica.recent.get(seq)
    author = change.body.get('author', '') if change else ''
    return EditConflict(
        seq=seq, author=author, keys=tuple(sorted(changed_keys))
    )


def _log_entry(change: ConfigChange, author: str) -> dict[str, object]:
    return {
        'author': author,
        'put': [to_json(doc) for doc in change.put],
        'delete': [list(key) for key in change.delete],
    }

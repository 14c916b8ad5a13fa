"""Configuration changes that operators make, and checks of their files."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve

from carawaylane.commands.store import (
    ChangeResult,
    ConfigChange,
    change_config,
)
from carawaylane.config.check import check_change
from carawaylane.config.documents import read_yaml
from carawaylane.config.schema import STATE_LABEL, Target
from carawaylane.decisions.routing.selector import (
    SelectorError,
    parse_selector,
)
from carawaylane.messages.outcomes import CheckReport, Problem

if TYPE_CHECKING:
    from pathlib import Path

    from carawaylane.config.schema import Document
    from carawaylane.config.state import ConfigState
    from carawaylane.storage.driver import PlatformDriver


def read_files(paths: list[Path]) -> tuple[list[Document], list[Problem]]:
    """Parse all files; return their documents and every problem in them."""
    docs: list[Document] = []
    problems: list[Problem] = []
    for path in paths:
        try:
            text = path.read_text(encoding='utf-8')
        except (OSError, UnicodeDecodeError) as exc:
            reason = getattr(exc, 'strerror', None) or str(exc)
            problems.append(Problem(place=str(path), reason=reason))
            continue
        file_docs, file_problems = read_yaml(text, source=str(path))
        docs += file_docs
        problems += file_problems
    return docs, problems + _duplicates(docs)


def check_files(paths: list[Path]) -> CheckReport:
    """Check files as if they were the whole configuration."""
    docs, problems = read_files(paths)
    if problems:
        return CheckReport(errors=tuple(problems))
    return check_change({}, docs, ())


async def apply_files(
    driver: PlatformDriver,
    author: str,
    paths: list[Path],
    if_version: int | None,
) -> ChangeResult:
    """Write the documents of files as one change."""
    docs, problems = read_files(paths)
    if problems:
        return CheckReport(errors=tuple(problems))
    change = ConfigChange(put=tuple(docs))
    return await change_config(
        driver, author, lambda state: change, if_version=if_version
    )


async def label_targets(
    driver: PlatformDriver,
    author: str,
    selector: str,
    label_changes: dict[str, str | None],
) -> ChangeResult:
    """Set labels on the selected targets; a value of None removes a label."""
    try:
        parsed_selector = parse_selector(selector)
    except SelectorError as exc:
        problem = Problem(place=f'selector {selector!r}', reason=str(exc))
        return CheckReport(errors=(problem,))

    def make_change(state: ConfigState) -> ConfigChange | CheckReport:
        selected = [
            target
            for target in state.targets()
            if parsed_selector.matches(target.labels)
        ]
        if not selected:
            problem = Problem(
                place=f'selector {selector!r}', reason='selects no target'
            )
            return CheckReport(errors=(problem,))
        put = tuple(_relabel(target, label_changes) for target in selected)
        problems = [
            Problem(place=f'Target {target.name}', reason=reason)
            for target in put
            for reason in target.problems()
        ]
        return (
            CheckReport(errors=tuple(problems))
            if problems
            else ConfigChange(put=put)
        )

    return await change_config(driver, author, make_change)


async def drain_targets(
    driver: PlatformDriver, author: str, selector: str, *, undo: bool = False
) -> ChangeResult:
    """Drain the selected targets, or return them to service with `undo`."""
    state = None if undo else 'draining'
    return await label_targets(driver, author, selector, {STATE_LABEL: state})


async def delete_document(
    driver: PlatformDriver, author: str, kind: str, name: str
) -> ChangeResult:
    """Delete one document from the configuration."""

    def make_change(state: ConfigState) -> ConfigChange | CheckReport:
        if (kind, name) not in state.docs:
            problem = Problem(place=f'{kind} {name}', reason='does not exist')
            return CheckReport(errors=(problem,))
        return ConfigChange(delete=((kind, name),))

    return await change_config(driver, author, make_change)


def _relabel(target: Target, label_changes: dict[str, str | None]) -> Target:
    labels = dict(target.labels)
    for key, value in label_changes.items():
        if value is None:
            labels.pop(key, None)
        else:
            labels[key] = value
    return evolve(target, labels=labels)


def _duplicates(docs: list[Document]) -> list[Problem]:
    seen_keys: set[tuple[str, str]] = set()
    problems: list[Problem] = []
    for doc in docs:
        key = (type(doc).__name__, doc.name)
        if key in seen_keys:
            problems.append(
                Problem(
                    place=' '.join(key), reason='is defined more than once'
                )
            )
        seen_keys.add(key)
    return problems

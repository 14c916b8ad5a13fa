"""Changes that operators make: apply, label, drain, delete, check."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve

from carawaylane.commands.store import Applied, Draft, change_config
from carawaylane.config.check import check_change
from carawaylane.config.documents import read_yaml
from carawaylane.config.schema import STATE_LABEL, Target
from carawaylane.decisions.selector import SelectorError, parse_selector
from carawaylane.messages.outcomes import CheckReport, Problem

if TYPE_CHECKING:
    from pathlib import Path

    from carawaylane.config.schema import Document
    from carawaylane.config.state import ConfigState
    from carawaylane.storage.driver import PlatformDriver


def read_files(paths: list[Path]) -> tuple[list[Document], list[Problem]]:
    """Return the documents of all files and every problem in them."""
    docs: list[Document] = []
    problems: list[Problem] = []
    for path in paths:
        try:
            text = path.read_text(encoding='utf-8')
        except (OSError, UnicodeDecodeError) as exc:
            reason = getattr(exc, 'strerror', None) or str(exc)
            problems.append(Problem(place=str(path), reason=reason))
            continue
        found, wrong = read_yaml(text, source=str(path))
        docs += found
        problems += wrong
    return docs, problems + _twice(docs)


def check_files(paths: list[Path]) -> CheckReport:
    """Check files by themselves, as if nothing else were configured."""
    docs, problems = read_files(paths)
    if problems:
        return CheckReport(errors=tuple(problems))
    return check_change({}, docs, ())


async def apply_files(
    driver: PlatformDriver,
    author: str,
    paths: list[Path],
    if_version: int | None,
) -> Applied:
    """Write the documents of files as one change."""
    docs, problems = read_files(paths)
    if problems:
        return CheckReport(errors=tuple(problems))
    draft = Draft(put=tuple(docs))
    return await change_config(
        driver, author, lambda state: draft, if_version=if_version
    )


async def label_targets(
    driver: PlatformDriver,
    author: str,
    selector: str,
    changes: dict[str, str | None],
) -> Applied:
    """Set labels (or remove those with None) on the selected targets."""
    try:
        sel = parse_selector(selector)
    except SelectorError as exc:
        problem = Problem(place=f'selector {selector!r}', reason=str(exc))
        return CheckReport(errors=(problem,))

    def make(state: ConfigState) -> Draft | CheckReport:
        chosen = [x for x in state.targets() if sel.matches(x.labels)]
        if not chosen:
            problem = Problem(
                place=f'selector {selector!r}', reason='selects no target'
            )
            return CheckReport(errors=(problem,))
        put = tuple(_relabel(each, changes) for each in chosen)
        wrong = [
            Problem(place=f'Target {each.name}', reason=text)
            for each in put
            for text in each.problems()
        ]
        return CheckReport(errors=tuple(wrong)) if wrong else Draft(put=put)

    return await change_config(driver, author, make)


async def drain_targets(
    driver: PlatformDriver, author: str, selector: str, *, undo: bool = False
) -> Applied:
    """Give the selected targets no new work, or take that back."""
    state = None if undo else 'draining'
    return await label_targets(driver, author, selector, {STATE_LABEL: state})


async def delete_document(
    driver: PlatformDriver, author: str, kind: str, name: str
) -> Applied:
    """Delete one document."""

    def make(state: ConfigState) -> Draft | CheckReport:
        if (kind, name) not in state.docs:
            problem = Problem(place=f'{kind} {name}', reason='does not exist')
            return CheckReport(errors=(problem,))
        return Draft(delete=((kind, name),))

    return await change_config(driver, author, make)


def _relabel(target: Target, changes: dict[str, str | None]) -> Target:
    labels = dict(target.labels)
    for key, value in changes.items():
        if value is None:
            labels.pop(key, None)
        else:
            labels[key] = value
    return evolve(target, labels=labels)


def _twice(docs: list[Document]) -> list[Problem]:
    seen: set[tuple[str, str]] = set()
    problems: list[Problem] = []
    for doc in docs:
        key = (type(doc).__name__, doc.name)
        if key in seen:
            problems.append(
                Problem(place=' '.join(key), reason='is given twice')
            )
        seen.add(key)
    return problems

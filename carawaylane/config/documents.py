"""Reading documents from YAML and from the configuration log."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import fields
from cattrs import Converter, transform_error
from cattrs.errors import BaseValidationError
from cattrs.gen import make_dict_structure_fn
from yaml import MarkedYAMLError, SafeLoader, YAMLError, compose_all
from yaml.nodes import MappingNode

from carawaylane.config.schema import (
    KINDS,
    Document,
    Retries,
    Service,
    Target,
    TrafficKind,
    Weights,
)
from carawaylane.messages.outcomes import Problem

if TYPE_CHECKING:
    from yaml.nodes import Node


def _converter() -> Converter:
    conv = Converter(forbid_extra_keys=True)
    for cls in (Service, TrafficKind, Target, Weights, Retries):
        hook = make_dict_structure_fn(
            cls, conv, _cattrs_forbid_extra_keys=True
        )
        conv.register_structure_hook(cls, hook)
    conv.register_structure_hook(str, _strict_str)
    conv.register_structure_hook(int, _strict_int)
    return conv


def _strict_str(value: Any, _: type) -> str:
    if isinstance(value, bool) or not isinstance(value, str | int | float):
        raise ValueError('must be text')
    return str(value)


def _strict_int(value: Any, _: type) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError('must be a whole number')
    return value


_CONVERTER = _converter()


def to_json(doc: Document) -> dict[str, Any]:
    """Return a document as a JSON object with its kind."""
    return {'kind': type(doc).__name__, **_CONVERTER.unstructure(doc)}


def from_json(row: dict[str, Any]) -> Document:
    """Return a document kept by the log, which was checked before."""
    spec = dict(row)
    return _CONVERTER.structure(spec, KINDS[spec.pop('kind')])


def read_yaml(
    text: str, *, source: str
) -> tuple[list[Document], list[Problem]]:
    """Return the documents in a file and every problem, with its place."""
    docs: list[Document] = []
    problems: list[Problem] = []
    try:
        nodes = list(compose_all(text, Loader=SafeLoader))
    except MarkedYAMLError as exc:
        line = exc.problem_mark.line + 1 if exc.problem_mark else 1
        return [], [Problem(place=f'{source}:{line}', reason=str(exc.problem))]
    except YAMLError as exc:
        return [], [Problem(place=source, reason=str(exc))]
    for node in nodes:
        if node is not None:
            _read_node(node, source, docs, problems)
    return docs, problems


def _read_node(
    node: Node, source: str, docs: list[Document], problems: list[Problem]
) -> None:
    place = f'{source}:{node.start_mark.line + 1}'
    if not isinstance(node, MappingNode):
        problems.append(Problem(place=place, reason='not a mapping'))
        return
    loader = SafeLoader('')
    spec = loader.construct_document(node)
    kind = spec.pop('kind', None)
    if kind not in KINDS:
        known = ', '.join(KINDS)
        problems.append(
            Problem(place=place, reason=f'kind {kind!r} is none of {known}')
        )
        return
    found = _structure(kind, spec, place)
    if isinstance(found, list):
        problems.extend(found)
        return
    docs.append(found)


def _structure(
    kind: str, spec: dict[str, Any], place: str
) -> Document | list[Problem]:
    cls = KINDS[kind]
    label = f'{kind} {spec.get("name", "without a name")}'
    missing = [
        each.name
        for each in fields(cls)
        if each.default is not None
        and each.name in ('name', 'selector', 'service', 'safety', 'address')
        and each.name not in spec
    ]
    if missing:
        names = ', '.join(missing)
        return [Problem(place=place, reason=f'{label}: {names} missing')]
    try:
        doc = _CONVERTER.structure(spec, cls)
    except BaseValidationError as exc:
        return [
            Problem(place=place, reason=f'{label}: {_plain(text)}')
            for text in transform_error(exc)
        ]
    return [
        Problem(place=place, reason=f'{label}: {text}')
        for text in doc.problems()
    ] or doc


def _plain(text: str) -> str:
    return text.replace(' @ $.', ' at ').replace(' @ $', '')

"""Conversion of documents from YAML and from and to JSON objects."""

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


def _make_converter() -> Converter:
    converter = Converter(forbid_extra_keys=True)
    for cls in (Service, TrafficKind, Target, Weights, Retries):
        hook = make_dict_structure_fn(
            cls, converter, _cattrs_forbid_extra_keys=True
        )
        converter.register_structure_hook(cls, hook)
    converter.register_structure_hook(str, _structure_str)
    converter.register_structure_hook(int, _structure_int)
    return converter


def _structure_str(value: Any, _: type) -> str:
    # YAML reads a text such as 1 or 1.5 without quotes as a number.
    if isinstance(value, bool) or not isinstance(value, str | int | float):
        raise ValueError('must be a string')
    return str(value)


def _structure_int(value: Any, _: type) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError('must be an integer')
    return value


_CONVERTER = _make_converter()


def to_json(doc: Document) -> dict[str, Any]:
    """Return a document as a JSON object that names its kind."""
    return {'kind': type(doc).__name__, **_CONVERTER.unstructure(doc)}


def from_json(row: dict[str, Any]) -> Document:
    """Return the document in a JSON object made by `to_json`.

    Raises `KeyError`, `TypeError`, `ValueError` or an error of the converter
    for another one.
    """
    spec = dict(row)
    doc: Document = _CONVERTER.structure(spec, KINDS[spec.pop('kind')])
    problems = (
        doc.stored_problems() if isinstance(doc, Target) else doc.problems()
    )
    if problems:
        raise ValueError('; '.join(problems))
    return doc


def read_yaml(
    text: str, *, source: str
) -> tuple[list[Document], list[Problem]]:
    """Return the valid documents in a YAML file and all problems found.

    A problem's place is `source`, the name of the file, with a line number.
    """
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
        kinds = ', '.join(KINDS)
        problems.append(
            Problem(place=place, reason=f'kind {kind!r} is none of {kinds}')
        )
        return
    result = _structure(kind, spec, place)
    if isinstance(result, list):
        problems.extend(result)
        return
    docs.append(result)


def _structure(
    kind: str, spec: dict[str, Any], place: str
) -> Document | list[Problem]:
    cls = KINDS[kind]
    label = f'{kind} {spec.get("name", "without a name")}'
    # Fields without a default; one problem lists all that are missing.
    missing = [
        attr.name
        for attr in fields(cls)
        if attr.default is not None
        and attr.name in ('name', 'selector', 'service', 'safety', 'address')
        and attr.name not in spec
    ]
    if missing:
        names = ', '.join(missing)
        return [Problem(place=place, reason=f'{label}: {names} missing')]
    try:
        doc = _CONVERTER.structure(spec, cls)
    except BaseValidationError as exc:
        return [
            Problem(place=place, reason=f'{label}: {_without_root(text)}')
            for text in transform_error(exc)
        ]
    return [
        Problem(place=place, reason=f'{label}: {text}')
        for text in doc.problems()
    ] or doc


def _without_root(text: str) -> str:
    # cattrs ends a message with a path such as "@ $.slots" or, for the whole
    # document, "@ $".
    return text.replace(' @ $.', ' at ').replace(' @ $', '')

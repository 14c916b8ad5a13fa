"""Patterns that stand for similar paths, of a bounded number for each route.

It is built for paths with identifiers of some digits in them. What a path
names in words stays in its pattern.
"""

from __future__ import annotations

from attrs import Factory, define

# Segments of a path in its pattern.
MAX_SEGMENTS = 6
# A longer segment, or one with a digit, counts as an identifier.
MAX_WORD = 24
# Patterns of a route; other paths of the route have none.
MAX_SHAPES = 32
MAX_ROUTES = 4096
IDENTIFIER = '*'


@define(kw_only=True, eq=False, repr=False)
class PathShapes:
    """The patterns that an entry has seen, by route."""

    _shapes: dict[str, set[str]] = Factory(dict)

    def shape_of(self, route: str, path: str) -> str:
        """Return the pattern of a path, empty if there are too many."""
        shape = _shape(path)
        shapes = self._shapes.get(route)
        if shapes is None:
            if len(self._shapes) >= MAX_ROUTES:
                del self._shapes[next(iter(self._shapes))]
            shapes = self._shapes.setdefault(route, set())
        if shape not in shapes:
            if len(shapes) >= MAX_SHAPES:
                return ''
            shapes.add(shape)
        return shape

    def known_shape(self, route: str, path: str) -> str:
        """Return the pattern that a path would get, without adding it."""
        shape, shapes = _shape(path), self._shapes.get(route, ())
        return shape if shape in shapes or len(shapes) < MAX_SHAPES else ''


def _shape(path: str) -> str:
    segments = path.split('?', 1)[0].split('/', MAX_SEGMENTS + 1)
    return '/'.join(map(_generalise, segments[: MAX_SEGMENTS + 1]))


def _generalise(segment: str) -> str:
    is_word = len(segment) <= MAX_WORD and not any(
        char.isdigit() for char in segment
    )
    return segment if is_word else IDENTIFIER

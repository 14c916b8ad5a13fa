"""Models of the work of requests, by route and by narrower classes.

It is built for services in which requests of one route differ by an order of
magnitude in work, and the path, the method, the size of the body or the
customer tells them apart. A class with few samples follows the wider class.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define, field

from carawaylane.decisions.placement.failure_estimate import LatencyModel

if TYPE_CHECKING:
    from carawaylane.messages.dispatch import SlotRequest

# Bodies up to these sizes are of the same class.
SIZE_LIMITS = (0, 4 << 10, 64 << 10, 1 << 20)
# A class predicts by itself once it has this number of samples. By then its
# mean is known to a fifth if the work within it is log-normal with sigma 0.6.
MIN_SAMPLES = 10
# Classes that are kept; beyond that, the one used longest ago is forgotten.
MAX_CLASSES = 1024

ClassKey = tuple[str, ...]


@define(kw_only=True, eq=False, repr=False)
class ClassModel(LatencyModel):
    """Model of a class; each sample also counts for the wider class."""

    wider: LatencyModel = field()

    def record_latency(self, latency_s: float) -> None:
        """Update the models of this class and of the wider ones."""
        super().record_latency(latency_s)
        self.wider.record_latency(latency_s)

    def record_hang(self, probability: float) -> None:
        """Update the share of hangs, which all classes of a route share."""
        self.wider.record_hang(probability)
        self.hang_share = self.wider.hang_share


@define(kw_only=True, eq=False, repr=False)
class WorkModels:
    """The models of all classes of the routes of a service."""

    routes: dict[str, LatencyModel]
    _classes: dict[ClassKey, ClassModel] = Factory(dict)
    _shortest_stuck_s: float = 0.0
    _uses_left: int = 0

    def predict(self, request: SlotRequest) -> LatencyModel:
        """Return the narrowest model that has enough samples."""
        model: LatencyModel = self.learn(request)
        while (
            isinstance(model, ClassModel) and model.answer_count < MIN_SAMPLES
        ):
            model = model.wider
        return model

    def known(self, request: SlotRequest) -> LatencyModel:
        """Return the model that predicts a request, without adding any."""
        for key in reversed(_class_keys(request)):
            model = self._classes.get(key)
            if model is not None and model.answer_count >= MIN_SAMPLES:
                return model
        return self.routes.get(request.route) or LatencyModel.for_objective(
            request.objective_s
        )

    def shortest_stuck_s(self) -> float:
        """Return the shortest age of stuck requests, as of some uses ago."""
        if self._uses_left <= 0:
            self._uses_left = len(self)
            self._shortest_stuck_s = min(
                (
                    model.stuck_after_s
                    for models in (self.routes, self._classes)
                    for model in models.values()
                ),
                default=0.0,
            )
        self._uses_left -= 1
        return self._shortest_stuck_s

    def learn(self, request: SlotRequest) -> LatencyModel:
        """Return the model of the narrowest class, created if needed."""
        keys = _class_keys(request)
        if keys and (known := self._classes.pop(keys[-1], None)) is not None:
            # Moves the class behind those that are used less.
            self._classes[keys[-1]] = known
            return known
        model = self.routes.get(request.route)
        if model is None:
            model = LatencyModel.for_objective(request.objective_s)
            self.routes[request.route] = model
        for key in keys:
            model = self._class_model(key, model)
        return model

    def _class_model(self, key: ClassKey, wider: LatencyModel) -> ClassModel:
        model = self._classes.get(key)
        if model is None:
            if len(self._classes) >= MAX_CLASSES:
                del self._classes[next(iter(self._classes))]
            model = ClassModel(
                wider=wider,
                log_mean=wider.log_mean,
                log_sd=wider.log_sd,
                hang_share=wider.hang_share,
            )
            self._classes[key] = model
        return model

    def __len__(self) -> int:
        return len(self.routes) + len(self._classes)


def _class_keys(request: SlotRequest) -> list[ClassKey]:
    """Return the keys of the classes of a request, the widest first.

    What a request does not tell gives no class of its own.
    """
    keys: list[ClassKey] = []
    key: ClassKey = (request.route,)
    size_class = str(sum(request.request_bytes > n for n in SIZE_LIMITS))
    kind = request.method + size_class if request.method else ''
    for part in (kind, request.path_shape, request.customer):
        # An empty part keeps its place, so that parts are not confused.
        key = (*key, part)
        if part:
            keys.append(key)
    return keys

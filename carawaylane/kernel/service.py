"""Services of a node: base classes, registry and message handlers."""

from __future__ import annotations

from asyncio import Future, Task, create_task, gather
from typing import TYPE_CHECKING, Any, ClassVar, TypeVar

from carawaylane.kernel.mailbox import Mailbox
from carawaylane.telemetry.events import TASK_FAILED, emit

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from carawaylane.kernel.kernel import Kernel

S = TypeVar('S', bound='type[Service]')

_SERVICES: dict[str, type[Service]] = {}


def service(name: str) -> Callable[[S], S]:
    """Register a service class under the name others find it by."""

    def register(cls: S) -> S:
        cls.name = name
        _SERVICES[name] = cls
        return cls

    return register


def service_classes() -> dict[str, type[Service]]:
    """Return the registered classes in the order of registration."""
    return dict(_SERVICES)


def handles(msg_type: type) -> Callable[[Any], Any]:
    """Mark a method as the handler of a type of message."""

    def mark(func: Any) -> Any:
        func.handled_type = msg_type
        return func

    return mark


class Service:
    """A part of the node with a lifecycle and tasks of its own."""

    name = ''

    def __init__(self, *, kernel: Kernel) -> None:
        self.kernel = kernel
        self._tasks: set[Task[Any]] = set()

    async def start(self) -> None:
        """Open what the service needs."""

    async def drain(self) -> None:
        """Finish what is in flight; new work is refused already."""

    async def stop(self) -> None:
        """Close what the service holds."""
        for task in list(self._tasks):
            task.cancel()
        await gather(*self._tasks, return_exceptions=True)

    def spawn(self, coro: Coroutine[Any, Any, Any]) -> Task[Any]:
        """Run a task that ends with the service."""
        task = create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        exc = task.exception()
        if exc is not None:
            emit(TASK_FAILED, service=self.name, error=repr(exc))
            self.kernel.abort(exc)


class Actor(Service):
    """A service whose task owns its state and works through a mailbox."""

    _handlers: ClassVar[dict[type, str]] = {}

    def __init_subclass__(cls, **kwargs: Any) -> None:
        super().__init_subclass__(**kwargs)
        cls._handlers = {
            func.handled_type: attr
            for base in reversed(cls.__mro__)
            for attr, func in vars(base).items()
            if hasattr(func, 'handled_type')
        }

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.mailbox = Mailbox()

    async def start(self) -> None:
        """Start working through the mailbox."""
        self.spawn(self._work())

    def post(self, msg: object) -> None:
        """Leave a message for this service."""
        self.mailbox.post(msg)

    async def ask(self, msg: object) -> Any:
        """Return this service's reply to a message."""
        return await self.mailbox.ask(msg)

    async def _work(self) -> None:
        while True:
            envelope = await self.mailbox.queue.get()
            handler = getattr(self, self._handlers[type(envelope.msg)])
            _reply(envelope.reply, handler(envelope.msg))


def _reply(reply: Future[Any] | None, result: Any) -> None:
    """Pass a handler's result on, now or once it is known."""
    if reply is None or reply.done():
        return
    if isinstance(result, Future):
        result.add_done_callback(lambda done: _copy(done, reply))
    else:
        reply.set_result(result)


def _copy(done: Future[Any], reply: Future[Any]) -> None:
    if not reply.done() and not done.cancelled():
        reply.set_result(done.result())

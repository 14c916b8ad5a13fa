"""Base classes of services, their registry and message handlers."""

from __future__ import annotations

from asyncio import Future, Task, create_task, gather
from typing import TYPE_CHECKING, Any, ClassVar, TypeVar

from carawaylane.kernel.mailbox import Mailbox
from carawaylane.telemetry.events import TASK_FAILED, emit

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from carawaylane.kernel.kernel import Kernel

ServiceClass = TypeVar('ServiceClass', bound='type[Service]')

_SERVICES: dict[str, type[Service]] = {}


def service(name: str) -> Callable[[ServiceClass], ServiceClass]:
    """Register a service class under the name for `Kernel.find`."""

    def register(cls: ServiceClass) -> ServiceClass:
        cls.name = name
        _SERVICES[name] = cls
        return cls

    return register


def service_classes() -> dict[str, type[Service]]:
    """Return the registered service classes by name."""
    return dict(_SERVICES)


def handles(msg_type: type) -> Callable[[Any], Any]:
    """Mark a method of an actor as the handler of a message type."""

    def mark(func: Any) -> Any:
        func.handled_type = msg_type
        return func

    return mark


class Service:
    """A component of the node with its own lifecycle and tasks."""

    name = ''

    def __init__(self, *, kernel: Kernel) -> None:
        self.kernel = kernel
        self._tasks: set[Task[Any]] = set()

    async def start(self) -> None:
        """Acquire the resources of the service, such as sockets."""

    async def drain(self) -> None:
        """Finish the requests in flight; the node is marked as draining."""

    async def stop(self) -> None:
        """Cancel the tasks of the service and release its resources."""
        for task in list(self._tasks):
            task.cancel()
        await gather(*self._tasks, return_exceptions=True)

    def spawn(self, coro: Coroutine[Any, Any, Any]) -> Task[Any]:
        """Run a background task that is cancelled when the service stops.

        An exception in the task stops the node.
        """
        task = create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        exc = task.exception()
        if exc is not None:
            emit(TASK_FAILED, service=self.name, error=repr(exc))
            self.kernel.abort(exc)


class Actor(Service):
    """A service that handles the messages in its mailbox one at a time.

    Its task owns the state of the service, so that the state needs no locks.
    """

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
        """Start handling the messages in the mailbox."""
        self.spawn(self._handle_messages())

    def post(self, msg: object) -> None:
        """Send this service a message without waiting for a reply."""
        self.mailbox.post(msg)

    async def ask(self, msg: object) -> Any:
        """Send this service a message and return its reply."""
        return await self.mailbox.ask(msg)

    async def _handle_messages(self) -> None:
        while True:
            envelope = await self.mailbox.queue.get()
            handler = getattr(self, self._handlers[type(envelope.msg)])
            _set_reply(envelope.reply, handler(envelope.msg))
            if self.mailbox.queue.empty():
                self.on_mailbox_empty()

    def on_mailbox_empty(self) -> None:
        """Do what is done once for all messages that had arrived."""


def _set_reply(reply: Future[Any] | None, result: Any) -> None:
    """Set the reply to a handler's result, or to that of its future."""
    if reply is None or reply.done():
        return
    if isinstance(result, Future):
        result.add_done_callback(lambda source: _copy_result(source, reply))
    else:
        reply.set_result(result)


def _copy_result(source: Future[Any], reply: Future[Any]) -> None:
    if not reply.done() and not source.cancelled():
        reply.set_result(source.result())

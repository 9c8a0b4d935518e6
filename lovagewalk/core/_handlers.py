"""A registry of handlers that decorators fill."""

from collections.abc import Callable, Hashable, Iterator
from typing import Generic, TypeVar

from ._registry import DuplicateHandlerError

K = TypeVar("K", bound=Hashable)
F = TypeVar("F", bound=Callable)


class Handlers(Generic[K, F]):
    """Handlers by key.

    `on` is the decorator that registers a function, for one key or several::

        _stage_handlers: Handlers[FailoverStage, StageHandler] = Handlers()
        at_stage = _stage_handlers.on

        @at_stage(FailoverStage.FENCE)
        def _fence(...): ...
    """

    def __init__(self) -> None:
        self._handlers: dict[K, F] = {}

    def on(self, *keys: K) -> Callable[[F], F]:
        """Register the decorated function for one or more keys.

        Raises
        ------
        DuplicateHandlerError
            If one of the keys has a handler already.
        """

        def decorate(handler: F) -> F:
            for key in keys:
                if key in self._handlers:
                    raise DuplicateHandlerError(f"duplicate handler for {key}")
                self._handlers[key] = handler
            return handler

        return decorate

    def __getitem__(self, key: K) -> F:
        return self._handlers[key]

    def __iter__(self) -> Iterator[K]:
        return iter(self._handlers)

    def __contains__(self, key: object) -> bool:
        return key in self._handlers

    def get(self, key: K) -> F | None:
        """Return the handler of a key, or None."""
        return self._handlers.get(key)

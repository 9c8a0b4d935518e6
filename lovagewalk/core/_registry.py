"""Registries that map the type of an event or effect to its handler.

Decorators register the handlers, so that a new event needs no change in a central
table. A look-up costs one dictionary access.
"""

from collections.abc import Callable
from typing import Any, TypeVar

from ._types import Effect, Event, Step

F = TypeVar("F", bound=Callable[..., Any])

_reducers: dict[type[Event], Callable[[Any, Any], Step]] = {}
_performers: dict[type[Effect], Callable[[Any, Any], None]] = {}
_periods: dict[type[Event], float] = {}


class DuplicateHandlerError(TypeError):
    """Two handlers were registered for one type."""


class UnknownTypeError(TypeError):
    """No handler is registered for a type."""


def _register(table: dict[Any, Any], key: type, handler: Any) -> None:
    if key in table:
        raise DuplicateHandlerError(f"duplicate handler for {key.__name__}")
    table[key] = handler


def reduces(event_type: type[Event]) -> Callable[[F], F]:
    """Register the decorated function as the reducer of an event type.

    Parameters
    ----------
    event_type : type
        The exact type handled; subclasses need their own handler.
    """

    def decorate(handler: F) -> F:
        _register(_reducers, event_type, handler)
        return handler

    return decorate


def performs(effect_type: type[Effect]) -> Callable[[F], F]:
    """Register the decorated function as the performer of an effect type."""

    def decorate(handler: F) -> F:
        _register(_performers, effect_type, handler)
        return handler

    return decorate


def every(period_s: float) -> Callable[[type[Event]], type[Event]]:
    """Declare that the timer service emits the decorated event periodically.

    Parameters
    ----------
    period_s : float
        Seconds between two events.
    """

    def decorate(event_type: type[Event]) -> type[Event]:
        _register(_periods, event_type, period_s)
        return event_type

    return decorate


def get_period_s(event_type: type[Event]) -> float:
    """Return the declared period of a timer event, in seconds."""
    return _periods[event_type]


def reduce(state: Any, event: Event) -> Step:
    """Compute the next state and the effects of one event.

    This is the single entry point of all decisions. It is pure: the same state
    and event always give the same step.

    Raises
    ------
    UnknownTypeError
        If no handler is registered for the type of `event`.
    """
    handler = _reducers.get(type(event))
    if handler is None:
        raise UnknownTypeError(f"no reducer for {type(event).__name__}")
    return handler(state, event)


def perform(ports: Any, effect: Effect) -> None:
    """Run the registered performer of one effect.

    Raises
    ------
    UnknownTypeError
        If no handler is registered for the type of `effect`.
    """
    handler = _performers.get(type(effect))
    if handler is None:
        raise UnknownTypeError(f"no performer for {type(effect).__name__}")
    handler(ports, effect)

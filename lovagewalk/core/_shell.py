"""The shell, which runs the reducer and the performers on one event loop."""

import logging
from collections import Counter, deque
from collections.abc import Callable
from typing import Any, Generic, TypeVar

from reactivex.subject import Subject

from ._errors import Code, LovageError, RequirementFailed
from ._registry import perform, reduce
from ._timer import TimerService
from ._types import DependentEffect, Effect, Event, RequiredEffect, Step

S = TypeVar("S")

log = logging.getLogger("lovagewalk.core")


class Shell(Generic[S]):
    """Feeds events to the reducer and its effects to the performers.

    Events that a performer emits while another event is handled wait in a queue,
    so reductions never nest. If a reducer raises, the exception is logged and the
    state stays unchanged. Exceptions of a performer are logged too; a `LovageError`,
    or any exception of a `RequiredEffect`, stops the shell. After `RequirementFailed`
    it goes on, without the dependent effects of the same step.

    Parameters
    ----------
    state : S
        The initial state.
    ports : object
        Adapters that the performers act on.
    timer : TimerService
        Source of time and of the periodic events.
    on_fatal : callable, optional
        Called with the error that stopped the shell, which means that the program
        must stop. No effect is performed and no event is handled after it.

    Attributes
    ----------
    failures : Counter of str
        Exceptions of reducers and performers, by type of the event or effect.
    """

    def __init__(
        self,
        state: S,
        ports: Any,
        timer: TimerService,
        on_fatal: Callable[[LovageError], None] | None = None,
    ) -> None:
        self.state = state
        self.ports = ports
        self.timer = timer
        self._queue: deque[Event] = deque()
        self._busy = False
        self._stopped = False
        self.failures: Counter[str] = Counter()
        self._on_fatal = on_fatal
        self._subscriptions: list[Any] = []
        self._events: Subject = Subject()
        self._events.subscribe(on_next=self._handle)

    def feed(self, event: Event) -> None:
        """Handle one event, or queue it while another one is handled."""
        if self._stopped:
            return
        self._queue.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._queue and not self._stopped:
                self._events.on_next(self._queue.popleft())
        finally:
            self._busy = False

    def _stop(self, exc: LovageError) -> None:
        self._stopped = True
        log.critical("core: stopped: %s", exc)
        if self._on_fatal is not None:
            self._on_fatal(exc)

    def subscribe(self, event_type: type[Event]) -> None:
        """Subscribe this shell to a periodic event of the timer service."""
        observable = self.timer.subscribe(event_type)
        self._subscriptions.append(observable.subscribe(on_next=self.feed))

    def apply_step(self, step: Step[S]) -> None:
        """Set the state and perform the effects of a step computed from the state.

        Front ends use it for changes of the state that no event causes.
        """
        self.state = step.state
        has_requirements = True
        for effect in step.effects:
            if self._stopped:
                return
            if has_requirements or not isinstance(effect, DependentEffect):
                has_requirements &= self._perform(effect)

    def _perform(self, effect: Effect) -> bool:
        """Perform an effect; return whether dependent effects may follow."""
        try:
            perform(self.ports, effect)
        except RequirementFailed as exc:
            self.failures[type(effect).__name__] += 1
            name = type(effect).__name__
            log.error("core: %s failed; dependent effects are dropped: %s", name, exc)
            return False
        except LovageError as exc:
            self._stop(exc)
        except Exception as exc:
            name = type(effect).__name__
            self.failures[name] += 1
            log.exception("core: performing %s failed", name)
            if isinstance(effect, RequiredEffect):
                detail = f"{name}: {type(exc).__name__}"
                self._stop(LovageError(Code.EFFECT_FAILED, detail))
        return True

    def _handle(self, event: Event) -> None:
        try:
            step = reduce(self.state, event)
        except Exception:
            self.failures[type(event).__name__] += 1
            log.exception("core: reducing %s failed", type(event).__name__)
            return
        self.apply_step(step)

    def close(self) -> None:
        """Cancel the subscriptions to all timers."""
        for subscription in self._subscriptions:
            subscription.dispose()
        self._subscriptions.clear()

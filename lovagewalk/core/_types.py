"""Base types of all events, effects and reducer steps.

They depend on no clock, socket or encoding, so that another front end can feed
events to the same reducers and perform their effects.
"""

from dataclasses import dataclass
from typing import Generic, TypeVar

S = TypeVar("S")


@dataclass(frozen=True, slots=True)
class Event:
    """Base class of the inputs of the reducer.

    Attributes
    ----------
    at : float
        Monotonic time of the event, in seconds. The reducer has no other clock.
    """

    at: float


@dataclass(frozen=True, slots=True)
class Effect:
    """Base class of the outputs of the reducer, which the shell performs."""


@dataclass(frozen=True, slots=True)
class RequiredEffect(Effect):
    """Base class of effects that the dependent effects of their step need.

    A message that says that an entry is on disk follows the effect that writes it. If
    performing such an effect fails, no later `DependentEffect` may be performed.
    """


@dataclass(frozen=True, slots=True)
class DependentEffect(Effect):
    """Base class of effects that tell others what the required effects have done."""


@dataclass(frozen=True, slots=True)
class Step(Generic[S]):
    """Result of one reduction.

    Attributes
    ----------
    state : S
        The state after the event.
    effects : tuple of Effect
        Effects for the shell to perform, in this order.
    """

    state: S
    effects: tuple[Effect, ...] = ()

    def then(self, following: "Step[S]") -> "Step[S]":
        """Return a step with the second state and the effects of both, in order.

        Parameters
        ----------
        following : Step
            A step computed from ``self.state``.
        """
        return Step(following.state, self.effects + following.effects)

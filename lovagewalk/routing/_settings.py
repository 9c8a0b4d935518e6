"""Session variables and prepared statements on connections that sessions share."""

from collections.abc import Callable

from immutables import Map

from lovagewalk.core import Handlers, replace
from lovagewalk.pools import PoolConnection
from lovagewalk.sessions import PreparedShape, Session

from ._effects import BeginTransaction, DiscardSettings, PrepareShape, SetupStep
from ._types import SetVariable


def plan_setup(
    connection: PoolConnection, session: Session, prepared: PreparedShape | None
) -> tuple[SetupStep, ...]:
    """Return the steps that apply a session's settings to a connection.

    Prepared statements are named by content, so those of other sessions may stay
    on the connection. A variable that the session has not set changes the meaning
    of its statements, so the connection is reset first.
    """
    current_variables, current_shapes = connection.variables, connection.prepared
    steps: tuple[SetupStep, ...] = ()
    if any(name not in session.variables for name in current_variables):
        steps = (DiscardSettings(),)
        current_variables, current_shapes = {}, {}
    for name, value in session.variables.items():
        if current_variables.get(name) != value:
            steps += (SetVariable(name, value),)
    if prepared is not None and prepared.name not in current_shapes:
        steps += (PrepareShape(prepared),)
    return steps


def apply_setup(
    connection: PoolConnection, steps: tuple[SetupStep, ...]
) -> PoolConnection:
    """Return a connection with the effects of setup steps recorded on it."""
    for step in steps:
        connection = _appliers[type(step)](connection, step)
    return connection


StepApplier = Callable[[PoolConnection, SetupStep], PoolConnection]
_appliers: Handlers[type, StepApplier] = Handlers()


@_appliers.on(DiscardSettings)
def _discard_settings(
    connection: PoolConnection, step: DiscardSettings
) -> PoolConnection:
    return replace(connection, variables=Map(), prepared=Map())


@_appliers.on(SetVariable)
def _set_variable(connection: PoolConnection, step: SetVariable) -> PoolConnection:
    variables = connection.variables.set(step.name, step.value)
    return replace(connection, variables=variables)


@_appliers.on(PrepareShape)
def _prepare(connection: PoolConnection, step: PrepareShape) -> PoolConnection:
    shape = step.shape
    prepared = connection.prepared.set(shape.name, len(shape.content))
    return replace(connection, prepared=prepared)


@_appliers.on(BeginTransaction)
def _begin(connection: PoolConnection, step: BeginTransaction) -> PoolConnection:
    """Return the connection unchanged; the session records its transaction."""
    return connection

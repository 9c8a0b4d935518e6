"""Imports the reducers of all packages, which registers them."""

from lovagewalk.clients import _reducer as _clients
from lovagewalk.control import _reducer as _control
from lovagewalk.groups import _reducer as _groups
from lovagewalk.pools import _reducer as _pools
from lovagewalk.routing import _arrival, _callers, _outcome, _setup, _sweep
from lovagewalk.routing._sweep import SweepTick

from ._changes import install_catalogue

__all__ = ["SweepTick", "install_catalogue"]

_REDUCERS = (
    _clients,
    _control,
    _arrival,
    _callers,
    _groups,
    _outcome,
    _pools,
    _setup,
    _sweep,
)

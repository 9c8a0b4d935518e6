"""Adapters that every daemon uses: peer links, storage, metrics, logs, HTTP, signals.

The program that builds a daemon adds the caller front end and the endpoint client to
its ports.
"""

from . import _performers, _storage
from ._caller_server import CallerServer
from ._clients import (
    Client,
    ClientPort,
    CountedReader,
    StreamConnection,
    UncountedClient,
    find_source,
    start_counted_server,
)
from ._decision_log import DecisionLog
from ._futures import set_result_if_pending
from ._http import (
    UNDECIDED_CHANGE_CODES,
    HttpHandler,
    HttpRequest,
    HttpResponse,
    HttpServer,
    json_response,
    send_request,
)
from ._instance_poller import InstancePoller, NoStatusError
from ._line_client import LineClient
from ._lines import LINE_END, LineSplitter
from ._listening import listen_when_free
from ._logs import BoundedHandler, JsonFormatter, set_up_structured_logs
from ._metrics import Metrics, customer_class_label
from ._metrics_page import MetricsPage, render_metrics
from ._network import Network
from ._peers import Peers
from ._pending_requests import PendingRequests
from ._pool_client import OpenRefusedError, PoolClient
from ._ports import Ports
from ._process import DaemonProcess
from ._process_limits import derive_process_limits
from ._program import load_when_accepted, run_program
from ._reload import SettingsReloader
from ._rows import BoundedRows
from ._signals import on_reload_signal, on_stop_signals
from ._sockets import set_tcp_options
from ._statement_runs import AnswerHandler, SetupRun, StatementRun

PERFORMERS = (_performers, _storage)

__all__ = [
    "PERFORMERS",
    "UNDECIDED_CHANGE_CODES",
    "AnswerHandler",
    "BoundedHandler",
    "BoundedRows",
    "CallerServer",
    "Client",
    "ClientPort",
    "CountedReader",
    "DaemonProcess",
    "DecisionLog",
    "HttpHandler",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "InstancePoller",
    "JsonFormatter",
    "LINE_END",
    "LineClient",
    "LineSplitter",
    "Metrics",
    "MetricsPage",
    "Network",
    "NoStatusError",
    "OpenRefusedError",
    "Peers",
    "PendingRequests",
    "PoolClient",
    "Ports",
    "SettingsReloader",
    "SetupRun",
    "StatementRun",
    "StreamConnection",
    "UncountedClient",
    "customer_class_label",
    "derive_process_limits",
    "find_source",
    "json_response",
    "listen_when_free",
    "load_when_accepted",
    "on_reload_signal",
    "on_stop_signals",
    "render_metrics",
    "run_program",
    "send_request",
    "set_result_if_pending",
    "set_tcp_options",
    "set_up_structured_logs",
    "start_counted_server",
]

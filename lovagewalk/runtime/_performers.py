"""Performers that pass effects on to the adapters of the daemon."""

from lovagewalk.control import (
    ControlTick,
    PromoteInstance,
    SendOrder,
    StopDaemon,
)
from lovagewalk.core import performs
from lovagewalk.groups import (
    AwaitPosition,
    CloseStatusConnections,
    InstanceFailed,
    PollInstance,
)
from lovagewalk.pools import CloseConnection, ConnectionRefused, OpenConnection
from lovagewalk.routing import (
    AcceptCaller,
    AnswerCaller,
    CheckReportDue,
    CloseCaller,
    DiscardResult,
    RunStatement,
    SetUpConnection,
)

from ._ports import Ports


@performs(AcceptCaller)
def _accept_caller(ports: Ports, effect: AcceptCaller) -> None:
    ports.callers.accept(effect.caller)


@performs(AnswerCaller)
def _answer_caller(ports: Ports, effect: AnswerCaller) -> None:
    ports.callers.answer(effect)


@performs(CloseCaller)
def _close_caller(ports: Ports, effect: CloseCaller) -> None:
    ports.callers.close(effect)


@performs(CheckReportDue)
def _check_report_due(ports: Ports, effect: CheckReportDue) -> None:
    ports.feed(ControlTick(ports.now()))


@performs(DiscardResult)
def _discard_result(ports: Ports, effect: DiscardResult) -> None:
    ports.results.pop(effect.req, None)


@performs(OpenConnection)
def _open_connection(ports: Ports, effect: OpenConnection) -> None:
    ports.metrics.count_connection(effect.endpoint)
    ports.spawn(
        ports.endpoints.open(effect),
        lambda now: ConnectionRefused(now, effect.conn, effect.endpoint),
    )


@performs(CloseConnection)
def _close_connection(ports: Ports, effect: CloseConnection) -> None:
    ports.endpoints.close(effect.conn)


@performs(SetUpConnection)
def _set_up_connection(ports: Ports, effect: SetUpConnection) -> None:
    ports.endpoints.set_up(effect)


@performs(RunStatement)
def _run_statement(ports: Ports, effect: RunStatement) -> None:
    request = ports.state.requests.get(effect.req)
    if request is not None:
        waited_s = request.sent_at - (request.queued_at or request.sent_at)
        ports.metrics.count_statement(request.endpoint, waited_s)
    ports.endpoints.run(effect)


@performs(PollInstance)
def _poll_instance(ports: Ports, effect: PollInstance) -> None:
    ports.spawn(
        ports.endpoints.poll(effect),
        lambda now: InstanceFailed(now, effect.endpoint, awaited=False, broken=True),
    )


@performs(AwaitPosition)
def _await_position(ports: Ports, effect: AwaitPosition) -> None:
    ports.spawn(
        ports.endpoints.wait(effect),
        lambda now: InstanceFailed(now, effect.endpoint, awaited=True, broken=True),
    )


@performs(CloseStatusConnections)
def _close_status_connections(ports: Ports, effect: CloseStatusConnections) -> None:
    ports.endpoints.close_status_connections(effect.endpoint)


@performs(SendOrder)
def _send_order(ports: Ports, effect: SendOrder) -> None:
    ports.spawn(ports.orders.send(effect))


@performs(PromoteInstance)
def _promote_instance(ports: Ports, effect: PromoteInstance) -> None:
    ports.spawn(ports.provider.promote(effect))


@performs(StopDaemon)
def _stop_daemon(ports: Ports, effect: StopDaemon) -> None:
    ports.stopped.set()

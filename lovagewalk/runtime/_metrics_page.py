"""The HTTP page with a daemon's metrics."""

from collections.abc import Mapping, Sequence

from aioprometheus import render

from ._http import HttpRequest, HttpResponse
from ._ports import Ports

METRICS_PATH = "/metrics"


def render_metrics(
    ports: Ports, accept_headers: Sequence[str] = ()
) -> tuple[bytes, Mapping[str, str]]:
    """Return the current metrics in the Prometheus format, and the HTTP headers.

    Parameters
    ----------
    accept_headers : sequence of str
        Values of the request's ``Accept`` headers.
    """
    ports.metrics.collect_failures(ports.shell.failures)
    ports.metrics.collect_state(ports.state, ports.now(), ports.peers.sent_bytes)
    return render(ports.metrics.registry, accept_headers)


class MetricsPage:
    """Serves the metrics over HTTP."""

    def __init__(self, ports: Ports) -> None:
        self._ports = ports

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the metrics in the Prometheus text format."""
        if request.path != METRICS_PATH:
            return HttpResponse(404)
        body, headers = render_metrics(self._ports)
        return HttpResponse(200, body, headers["Content-Type"])

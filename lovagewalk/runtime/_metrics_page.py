"""The page of a daemon's metrics."""

from aioprometheus import render

from ._http import HttpRequest, HttpResponse
from ._ports import Ports

METRICS_PATH = "/metrics"


class MetricsPage:
    """Answers whoever reads metrics."""

    def __init__(self, ports: Ports) -> None:
        self._ports = ports

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the metrics in their usual text form."""
        if request.path != METRICS_PATH:
            return HttpResponse(404)
        ports = self._ports
        ports.metrics.collect_state(ports.state, ports.now(), ports.peers.sent_bytes)
        body, headers = render(ports.metrics.registry, [])
        return HttpResponse(200, body, headers["Content-Type"])

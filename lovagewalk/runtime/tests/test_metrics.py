"""Latencies by route, kind and outcome."""

from aioprometheus import render

from lovagewalk.core import Code, Refusal
from lovagewalk.routing import AnswerCaller, Phase, RequestTrace, StatementKind
from lovagewalk.runtime._metrics import Metrics


def _answer(refusal=None):
    trace = RequestTrace(
        request_id="r",
        route="till",
        kind=StatementKind.READ,
        phase=Phase.RUNNING,
        endpoint="i",
        attempts=1,
        arrived_at=0.0,
        term=1,
        revision=1,
    )
    return AnswerCaller(1, 1, refusal, customer="kiosk", trace=trace)


def test_answers_are_counted_up_to_each_bound():
    metrics = Metrics()
    for elapsed_s in (0.004, 0.03, 9.0):
        metrics.note_answer(_answer(), elapsed_s)
    metrics.note_answer(_answer(Refusal(Code.RATE_EXCEEDED)), 0.002)
    metrics.collect()
    text = render(metrics.registry, [])[0].decode()

    def count(outcome, bound):
        labels = f'kind="read",le="{bound}",outcome="{outcome}",route="till"'
        line = f"lovagewalk_request_seconds_bucket{{{labels}}} "
        return next(int(x.split()[-1]) for x in text.splitlines() if line in x)

    assert [count("ok", b) for b in ("0.002", "0.005", "0.05", "+Inf")] == [0, 1, 2, 3]
    assert count("not run", "0.002") == 1

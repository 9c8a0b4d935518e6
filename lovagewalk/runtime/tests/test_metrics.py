"""Metrics of answers, queue times, events and replication lag."""

from types import SimpleNamespace

from aioprometheus import render
from immutables import Map

from lovagewalk.catalogue import (
    Catalogue,
    CustomerEntry,
    Proposal,
    PutCustomer,
    SetZoneEvacuation,
    apply_proposal,
)
from lovagewalk.core import Code, Refusal, perform, replace
from lovagewalk.groups import GroupView, InstanceStatus, InstanceView, Role
from lovagewalk.node import Identity, NodeState
from lovagewalk.pace import Pace, PaceState
from lovagewalk.pools import Pool
from lovagewalk.records import EndpointPaceChanged, PromotionOrdered
from lovagewalk.routing import AnswerCaller, Phase, RequestTrace, StatementKind
from lovagewalk.runtime._metrics import Metrics, customer_class_label
from lovagewalk.shares import Share


def _build_answer(refusal=None):
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
        metrics.count_answer(_build_answer(), elapsed_s, "1")
    metrics.count_answer(_build_answer(Refusal(Code.RATE_EXCEEDED)), 0.002, "1")
    metrics.collect()
    text = render(metrics.registry, [])[0].decode()

    def count(outcome, bound):
        labels = f'class="1",kind="read",le="{bound}",outcome="{outcome}",route="till"'
        prefix = f"lovagewalk_request_seconds_bucket{{{labels}}} "
        return next(int(row.split()[-1]) for row in text.splitlines() if prefix in row)

    assert [count("ok", b) for b in ("0.002", "0.005", "0.05", "+Inf")] == [0, 1, 2, 3]
    assert count("not run", "0.002") == 1


def _render(metrics):
    metrics.collect()
    return render(metrics.registry, [])[0].decode()


def test_waits_for_a_connection_are_counted_by_endpoint():
    metrics = Metrics()
    for waited_s in (0.0, 0.3):
        metrics.count_statement("i-1", waited_s)
    text = _render(metrics)
    assert 'queue_wait_seconds_bucket{endpoint="i-1",le="0.25"} 1' in text
    assert 'queue_wait_seconds_bucket{endpoint="i-1",le="+Inf"} 2' in text
    assert 'endpoint_statements_total{endpoint="i-1"} 2' in text


def test_logged_records_are_counted_as_events():
    ports = SimpleNamespace(metrics=Metrics())
    for fence in (1, 2):
        perform(ports, PromotionOrdered("g", "i-1", fence))
    assert 'events_total{event="promotion ordered",part="groups"} 2' in _render(
        ports.metrics
    )


def test_the_pace_of_an_endpoint_and_the_causes_of_its_changes_are_shown():
    """Without them an operator cannot tell a limited endpoint from an idle one."""
    ports = SimpleNamespace(metrics=Metrics())
    record = EndpointPaceChanged("i-1", "g", "probing", "busy", 0.5, 0.1, 14.0, 12.0, 3)
    perform(ports, record)
    limited = Pace(PaceState.PROBING, limit=0.5)
    pools = {
        "i-1": Pool("i-1", 3, pace=limited),
        "i-2": Pool("i-2", 3, pace=Pace()),
        "i-3": Pool("i-3", 3),
    }
    identity = Identity("e", "z", "r", b"secret")
    ports.metrics.collect_state(NodeState(identity, pools=Map(pools)), 1.0, 0)
    text = _render(ports.metrics)
    labels = '{cause="busy",endpoint="i-1",state="probing"}'
    assert f"pace_changes_total{labels} 1" in text
    assert 'pace_limit{endpoint="i-1"} 0.5' in text
    assert 'pace_limit{endpoint="i-2"} inf' in text.replace("+Inf", "inf")
    assert 'pace_limit{endpoint="i-3"}' not in text


def test_position_lag_covers_only_the_newest_term():
    view = GroupView("g")
    for name, term, index in (("old", 1, 90), ("first", 2, 50), ("behind", 2, 44)):
        status = InstanceStatus("born", Role.REPLICA, term, index, term)
        instance = InstanceView(name, status)
        view = replace(view, instances=view.instances.set(name, instance))
    metrics = Metrics()
    state = NodeState(
        Identity("e", "z", "r", b"secret"), groups=Map({"g": view}), fresh_until=9.0
    )
    metrics.collect_state(state, 1.0, 0)
    text = _render(metrics)
    assert 'position_lag{endpoint="first"} 0' in text
    assert 'position_lag{endpoint="behind"} 6' in text
    assert 'endpoint="old"' not in text
    assert "configuration_version 0" in text and "lines_dropped_total 0" in text


def test_the_owned_rate_is_zero_once_the_lease_has_ended():
    metrics = Metrics()
    share = Share("kiosk", 6.0, 3.0, lease_until=2.0, on_demand=True)
    state = NodeState(Identity("e", "z", "r", b"secret"), shares=Map(kiosk=share))
    for now, rate in ((1.0, "6"), (2.0, "0")):
        metrics.collect_state(state, now, 0)
        assert f'owned_bucket_rate{{customer="kiosk"}} {rate}' in _render(metrics)


def test_a_customers_class_is_its_weight():
    entry = CustomerEntry("kiosk", "op", 1.0, 1.0, weight=3.0)
    proposal = Proposal("", "test", 0.0, PutCustomer(entry, 0))
    catalogue = apply_proposal(Catalogue(), 1, proposal).catalogue
    state = NodeState(Identity("e", "z", "r", b"secret"), catalogue=catalogue)
    assert (
        customer_class_label(state, "kiosk") == "3"
        and customer_class_label(state, "") == ""
    )


def test_a_zone_is_shown_as_in_service_after_a_withdrawal():
    """Guards against an alarm that stays on, since the last value was kept."""
    metrics = Metrics()
    state = NodeState(Identity("e", "z", "r", b"secret"))
    metrics.collect_state(state, 1.0, 0)
    assert "zone_evacuated{" not in _render(metrics)
    for index, evacuated in enumerate((True, False), 1):
        command = SetZoneEvacuation("zone-a", evacuated, True, index)
        proposal = Proposal("", "test", 0.0, command)
        applied = apply_proposal(state.catalogue, index, proposal)
        state = replace(state, catalogue=applied.catalogue)
        metrics.collect_state(state, 1.0, 0)
        expected = f'zone_evacuated{{zone="zone-a"}} {int(evacuated)}'
        assert expected in _render(metrics)

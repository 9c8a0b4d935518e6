"""Metrics of one daemon, for the measures that the users weigh."""

from bisect import bisect_left
from collections import Counter
from itertools import accumulate

import aioprometheus
from aioprometheus import Gauge, Histogram, Registry

from lovagewalk.groups import GroupView
from lovagewalk.node import NodeState
from lovagewalk.routing import AnswerCaller

from ._logs import count_dropped_lines

# From a read within a zone to the default deadline.
BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0)


class Counts:
    """Counts by labels.

    Parameters
    ----------
    series : Counter of aioprometheus
        Where the counts go when they are read; counting there at once took a tenth
        of a read's time.
    names : tuple of str
        Names of the labels.
    """

    def __init__(self, series: aioprometheus.Counter, names: tuple[str, ...]) -> None:
        self._series = series
        self._names = names
        self._counts: Counter[tuple[str, ...]] = Counter()

    def note(self, *labels: str) -> None:
        """Count one."""
        self._counts[labels] += 1

    def collect(self) -> None:
        """Write the counts into the registry."""
        for labels, count in self._counts.items():
            self._series.set(dict(zip(self._names, labels, strict=True)), count)


class Times:
    """Counts of times up to each bound, by labels; see `Counts`."""

    def __init__(self, series: aioprometheus.Counter, names: tuple[str, ...]) -> None:
        self._series = series
        self._names = names
        self._counts: dict[tuple[str, ...], list[int]] = {}

    def note(self, labels: tuple[str, ...], elapsed_s: float) -> None:
        """Count one time, in seconds."""
        counts = self._counts.setdefault(labels, [0] * (len(BUCKETS_S) + 1))
        counts[bisect_left(BUCKETS_S, elapsed_s)] += 1

    def collect(self) -> None:
        """Write the counts into the registry."""
        bounds = (*map(str, BUCKETS_S), "+Inf")
        for labels, counts in self._counts.items():
            named = dict(zip(self._names, labels, strict=True))
            for bound, count in zip(bounds, accumulate(counts), strict=True):
                self._series.set({**named, "le": bound}, count)


def class_of(state: NodeState, customer: str) -> str:
    """Return a customer's class, its weight; empty for callers without a customer."""
    entry = state.catalogue.customer(customer)
    return f"{entry.weight:g}" if entry else ""


class Metrics:
    """Counters and histograms; each daemon has its own registry."""

    def __init__(self) -> None:
        self.registry = Registry()
        answers = aioprometheus.Counter(
            "lovagewalk_statements_total",
            "Answered statements by customer and code.",
            registry=self.registry,
        )
        self._answers = Counts(answers, ("customer", "code"))
        runs = aioprometheus.Counter(
            "lovagewalk_endpoint_statements_total",
            "Statements sent to endpoints by endpoint.",
            registry=self.registry,
        )
        self._runs = Counts(runs, ("endpoint",))
        openings = aioprometheus.Counter(
            "lovagewalk_endpoint_connections_total",
            "Connections opened to endpoints by endpoint.",
            registry=self.registry,
        )
        self._openings = Counts(openings, ("endpoint",))
        self.pool_connections = Gauge(
            "lovagewalk_pool_connections",
            "Connections open by endpoint.",
            registry=self.registry,
        )
        self.pool_waiting = Gauge(
            "lovagewalk_pool_waiting",
            "Requests waiting for a connection by endpoint.",
            registry=self.registry,
        )
        self.pool_strikes = Gauge(
            "lovagewalk_pool_strikes",
            "Statements refused in a row by an endpoint that is full.",
            registry=self.registry,
        )
        self.sample_age = Gauge(
            "lovagewalk_group_sample_age_seconds",
            "Age of the last proof of a primary by group.",
            registry=self.registry,
        )
        self.leads = Gauge(
            "lovagewalk_control_leads",
            "Whether this daemon leads control.",
            registry=self.registry,
        )
        self.latency = Histogram(
            "lovagewalk_statement_seconds",
            "Time from a statement's arrival to its answer by customer.",
            registry=self.registry,
            buckets=BUCKETS_S,
        )
        route_latency = aioprometheus.Counter(
            "lovagewalk_request_seconds_bucket",
            "Time to the answer by route, kind, outcome and customer class.",
            registry=self.registry,
        )
        names = ("route", "kind", "outcome", "class")
        self._route_times = Times(route_latency, names)
        queue_waits = aioprometheus.Counter(
            "lovagewalk_queue_wait_seconds_bucket",
            "Time in the queue for a connection by endpoint.",
            registry=self.registry,
        )
        self._queue_times = Times(queue_waits, ("endpoint",))
        events = aioprometheus.Counter(
            "lovagewalk_events_total",
            "Changes of belief and orders by part and event.",
            registry=self.registry,
        )
        self._events = Counts(events, ("part", "event"))
        self.log_dropped = aioprometheus.Counter(
            "lovagewalk_log_lines_dropped_total",
            "Log lines beyond the budget, or that nobody read in time.",
            registry=self.registry,
        )
        self.position_lag = Gauge(
            "lovagewalk_position_lag",
            "Commits that an instance is behind the newest known one.",
            registry=self.registry,
        )
        self.version = Gauge(
            "lovagewalk_configuration_version",
            "Version of the operators' configuration in force.",
            registry=self.registry,
        )
        self.revision = Gauge(
            "lovagewalk_catalogue_revision",
            "Catalogue revision in force.",
            registry=self.registry,
        )
        self.fresh_seconds = Gauge(
            "lovagewalk_catalogue_fresh_seconds",
            "Time left until keyed routes are refused.",
            registry=self.registry,
        )
        self.group_term = Gauge(
            "lovagewalk_group_term",
            "Installed term by group; each change is a change of primary.",
            registry=self.registry,
        )
        self.peer_bytes = Gauge(
            "lovagewalk_peer_sent_bytes",
            "Bytes sent to other daemons.",
            registry=self.registry,
        )
        self.region_bytes = aioprometheus.Counter(
            "lovagewalk_inter_region_bytes_total",
            "Statement and row bytes exchanged with another region by route.",
            registry=self.registry,
        )

    def note_opening(self, endpoint: str) -> None:
        """Count a connection that is opened to an endpoint."""
        self._openings.note(endpoint)

    def note_answer(
        self, answer: AnswerCaller, elapsed_s: float, customer_class: str
    ) -> None:
        """Count an answered statement; see `class_of`."""
        refusal = answer.refusal
        label = refusal.code.label if refusal else "ok"
        outcome = refusal.code.outcome.value if refusal else "ok"
        self._answers.note(answer.customer, label)
        self.latency.observe({"customer": answer.customer}, elapsed_s)
        trace = answer.trace
        labels = (trace.route, trace.kind.value, outcome, customer_class)
        self._route_times.note(labels, elapsed_s)

    def note_run(self, endpoint: str, waited_s: float) -> None:
        """Count a statement sent to an endpoint, and its time in the queue."""
        self._runs.note(endpoint)
        self._queue_times.note((endpoint,), waited_s)

    def note_event(self, part: str, event: str) -> None:
        """Count a change of belief or an order."""
        self._events.note(part, event)

    def collect(self) -> None:
        """Write the plain counts into the registry, before it is read."""
        for counts in (self._answers, self._runs, self._openings, self._events):
            counts.collect()
        for times in (self._route_times, self._queue_times):
            times.collect()

    def collect_state(self, state: NodeState, now: float, sent_bytes: int) -> None:
        """Write what the state says into the registry, before it is read."""
        self.collect()
        self.log_dropped.set({}, count_dropped_lines())
        self.revision.set({}, state.catalogue.revision)
        self.version.set({}, state.catalogue.version)
        self.fresh_seconds.set({}, max(state.fresh_until - now, 0.0))
        self.peer_bytes.set({}, sent_bytes)
        raft = state.consensus
        self.leads.set({}, int(raft is not None and raft.is_leader))
        for name, config in state.catalogue.groups.items():
            self.group_term.set({"group": name}, config.term)
        for name, view in state.groups.items():
            if view.samples:
                age_s = now - view.samples[-1].sent_at
                self.sample_age.set({"group": name}, age_s)
            self._collect_lags(view)
        for name, pool in state.pools.items():
            self.pool_connections.set({"endpoint": name}, len(pool.connections))
            self.pool_waiting.set({"endpoint": name}, pool.waiting)
            self.pool_strikes.set({"endpoint": name}, pool.refusals)

    def _collect_lags(self, view: GroupView) -> None:
        """Compare what instances have said of their logs, in the newest term."""
        known = {
            name: instance.status
            for name, instance in view.instances.items()
            if instance.status is not None
        }
        term = max((status.term for status in known.values()), default=0)
        told = {name: s.index for name, s in known.items() if s.term == term}
        newest = max(told.values(), default=0)
        for name, index in told.items():
            self.position_lag.set({"endpoint": name}, newest - index)

    def note_region_bytes(self, route: str, count: int) -> None:
        """Count bytes that crossed between regions."""
        self.region_bytes.add({"route": route}, count)

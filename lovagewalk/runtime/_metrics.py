"""Metrics of one daemon."""

import math
from bisect import bisect_left
from collections import Counter
from itertools import accumulate

import aioprometheus
from aioprometheus import Gauge, Histogram, Registry

from lovagewalk.consensus import RaftRole
from lovagewalk.groups import GroupView
from lovagewalk.node import NodeState
from lovagewalk.routing import AnswerCaller

from ._logs import count_dropped_lines

# From the time of a read within a zone to the default deadline.
BUCKET_BOUNDS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0)


class LabelledCounter:
    """A counter with labels, copied into the registry when the metrics are read.

    Counting in the registry itself takes a tenth of the time of a read statement.

    Parameters
    ----------
    series : Counter of aioprometheus
        Series in the registry.
    label_names : tuple of str
        Names of the labels.
    """

    def __init__(
        self, series: aioprometheus.Counter, label_names: tuple[str, ...]
    ) -> None:
        self._series = series
        self._label_names = label_names
        self._counts: Counter[tuple[str, ...]] = Counter()

    def increment(self, *labels: str) -> None:
        """Increment the count for these labels."""
        self._counts[labels] += 1

    def collect(self) -> None:
        """Write the counts into the registry."""
        for labels, count in self._counts.items():
            self._series.set(dict(zip(self._label_names, labels, strict=True)), count)


class LabelledHistogram:
    """A histogram of times with labels, copied in the same way as `LabelledCounter`."""

    def __init__(
        self, series: aioprometheus.Counter, label_names: tuple[str, ...]
    ) -> None:
        self._series = series
        self._label_names = label_names
        self._counts: dict[tuple[str, ...], list[int]] = {}

    def observe(self, labels: tuple[str, ...], elapsed_s: float) -> None:
        """Add one time, in seconds."""
        counts = self._counts.setdefault(labels, [0] * (len(BUCKET_BOUNDS_S) + 1))
        counts[bisect_left(BUCKET_BOUNDS_S, elapsed_s)] += 1

    def collect(self) -> None:
        """Write the counts into the registry."""
        bounds = (*map(str, BUCKET_BOUNDS_S), "+Inf")
        for labels, counts in self._counts.items():
            labels_by_name = dict(zip(self._label_names, labels, strict=True))
            for bound, count in zip(bounds, accumulate(counts), strict=True):
                self._series.set({**labels_by_name, "le": bound}, count)


def customer_class_label(state: NodeState, customer: str) -> str:
    """Return a customer's class, which is its weight; empty for an unknown customer."""
    entry = state.catalogue.customer(customer)
    return f"{entry.weight:g}" if entry else ""


class Metrics:
    """All metrics of a daemon, in a registry of its own."""

    def __init__(self) -> None:
        self.registry = Registry()
        answers = aioprometheus.Counter(
            "lovagewalk_statements_total",
            "Answered statements by customer and code.",
            registry=self.registry,
        )
        self._answers = LabelledCounter(answers, ("customer", "code"))
        statements = aioprometheus.Counter(
            "lovagewalk_endpoint_statements_total",
            "Statements sent to endpoints by endpoint.",
            registry=self.registry,
        )
        self._statements = LabelledCounter(statements, ("endpoint",))
        connections = aioprometheus.Counter(
            "lovagewalk_endpoint_connections_total",
            "Connections opened to endpoints by endpoint.",
            registry=self.registry,
        )
        self._connections = LabelledCounter(connections, ("endpoint",))
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
        self.pool_refusals = Gauge(
            "lovagewalk_pool_strikes",
            "Statements refused in a row by an endpoint that is full.",
            registry=self.registry,
        )
        self.pace_limit = Gauge(
            "lovagewalk_endpoint_pace_limit",
            "Statements in flight that the pace allows; +Inf for no limit.",
            registry=self.registry,
        )
        pace_changes = aioprometheus.Counter(
            "lovagewalk_endpoint_pace_changes_total",
            "Changes of the pace by endpoint, new state and cause.",
            registry=self.registry,
        )
        self._pace_changes = LabelledCounter(
            pace_changes, ("endpoint", "state", "cause")
        )
        self.owned_rate = Gauge(
            "lovagewalk_owned_bucket_rate",
            "Tokens per second of the bucket, or part, that this daemon owns.",
            registry=self.registry,
        )
        self.sample_age = Gauge(
            "lovagewalk_group_sample_age_seconds",
            "Age of the last proof of a primary by group.",
            registry=self.registry,
        )
        self.is_control_leader = Gauge(
            "lovagewalk_control_leads",
            "Whether this daemon leads control.",
            registry=self.registry,
        )
        self.has_data_folder = Gauge(
            "lovagewalk_control_data_folder",
            "Whether this control VM can write to its data folder.",
            registry=self.registry,
        )
        self.latency = Histogram(
            "lovagewalk_statement_seconds",
            "Time from a statement's arrival to its answer by customer.",
            registry=self.registry,
            buckets=BUCKET_BOUNDS_S,
        )
        route_latency = aioprometheus.Counter(
            "lovagewalk_request_seconds_bucket",
            "Time to the answer by route, kind, outcome and customer class.",
            registry=self.registry,
        )
        label_names = ("route", "kind", "outcome", "class")
        self._route_times = LabelledHistogram(route_latency, label_names)
        queue_waits = aioprometheus.Counter(
            "lovagewalk_queue_wait_seconds_bucket",
            "Time in the queue for a connection by endpoint.",
            registry=self.registry,
        )
        self._queue_times = LabelledHistogram(queue_waits, ("endpoint",))
        events = aioprometheus.Counter(
            "lovagewalk_events_total",
            "Changes of belief and orders by part and event.",
            registry=self.registry,
        )
        self._events = LabelledCounter(events, ("part", "event"))
        closed_clients = aioprometheus.Counter(
            "lovagewalk_clients_closed_total",
            "Connections of clients refused or closed, by kind and reason.",
            registry=self.registry,
        )
        self._closed_clients = LabelledCounter(closed_clients, ("kind", "reason"))
        self.client_connections = Gauge(
            "lovagewalk_client_connections",
            "Connections of clients by kind.",
            registry=self.registry,
        )
        self.client_bytes = Gauge(
            "lovagewalk_client_held_bytes",
            "Bytes that clients hold beyond the threshold of each connection.",
            registry=self.registry,
        )
        self.clients_paused = Gauge(
            "lovagewalk_clients_paused",
            "Connections of clients that are not read from for now.",
            registry=self.registry,
        )
        self.failures = aioprometheus.Counter(
            "lovagewalk_failures_total",
            "Exceptions of reducers and performers by event or effect.",
            registry=self.registry,
        )
        self.log_lines_dropped = aioprometheus.Counter(
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
        self.zone_evacuated = Gauge(
            "lovagewalk_zone_evacuated",
            "Whether a zone is evacuated, for zones that were since the start.",
            registry=self.registry,
        )
        self._seen_evacuations: set[str] = set()
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

    def count_connection(self, endpoint: str) -> None:
        """Count a connection that this daemon opens to an endpoint."""
        self._connections.increment(endpoint)

    def count_answer(
        self, answer: AnswerCaller, elapsed_s: float, customer_class: str
    ) -> None:
        """Count an answered statement; `customer_class_label` names the class."""
        refusal = answer.refusal
        label = refusal.code.label if refusal else "ok"
        outcome = refusal.code.outcome.value if refusal else "ok"
        self._answers.increment(answer.customer, label)
        self.latency.observe({"customer": answer.customer}, elapsed_s)
        trace = answer.trace
        labels = (trace.route, trace.kind.value, outcome, customer_class)
        self._route_times.observe(labels, elapsed_s)

    def count_statement(self, endpoint: str, waited_s: float) -> None:
        """Count a statement sent to an endpoint, and its time in the queue."""
        self._statements.increment(endpoint)
        self._queue_times.observe((endpoint,), waited_s)

    def count_pace_change(self, endpoint: str, state: str, cause: str) -> None:
        """Count a change of the pace towards an endpoint."""
        self._pace_changes.increment(endpoint, state, cause)

    def count_event(self, part: str, event: str) -> None:
        """Count a logged change of the state, or an order."""
        self._events.increment(part, event)

    def count_closed_client(self, kind: str, reason: str) -> None:
        """Count a connection that the client budget refused or closed."""
        self._closed_clients.increment(kind, reason)

    def collect(self) -> None:
        """Copy the counters and histograms into the registry."""
        for counts in (
            self._answers,
            self._statements,
            self._connections,
            self._events,
            self._pace_changes,
            self._closed_clients,
        ):
            counts.collect()
        for times in (self._route_times, self._queue_times):
            times.collect()

    def collect_failures(self, failures: Counter[str]) -> None:
        """Write the counts of failed events and effects into the registry."""
        for name, count in failures.items():
            self.failures.set({"type": name}, count)

    def collect_state(self, state: NodeState, now: float, sent_bytes: int) -> None:
        """Write all metrics into the registry, including those of the state."""
        self.collect()
        self.log_lines_dropped.set({}, count_dropped_lines())
        self.revision.set({}, state.catalogue.revision)
        self.version.set({}, state.catalogue.version)
        self.fresh_seconds.set({}, max(state.fresh_until - now, 0.0))
        self.peer_bytes.set({}, sent_bytes)
        self._seen_evacuations |= state.catalogue.evacuated_zones
        for zone in self._seen_evacuations:
            is_evacuated = zone in state.catalogue.evacuated_zones
            self.zone_evacuated.set({"zone": zone}, int(is_evacuated))
        budget = state.client_budget
        self.client_bytes.set({}, budget.held_bytes)
        self.clients_paused.set({}, budget.paused)
        for kind, count in budget.connections.items():
            self.client_connections.set({"kind": kind.value}, count)
        raft = state.consensus
        self.is_control_leader.set({}, int(raft is not None and raft.is_leader))
        if raft is not None:
            is_available = raft.role is not RaftRole.OFFLINE
            self.has_data_folder.set({}, int(is_available))
        for name, config in state.catalogue.groups.items():
            self.group_term.set({"group": name}, config.term)
        for name, view in state.groups.items():
            if view.samples:
                age_s = now - view.samples[-1].sent_at
                self.sample_age.set({"group": name}, age_s)
            self._collect_lags(view)
        for name, share in state.shares.items():
            if share.on_demand:
                is_owned = share.is_whole_bucket and now < share.lease_until
                rate = share.rate if is_owned else 0.0
                self.owned_rate.set({"customer": name}, rate)
        for name, pool in state.pools.items():
            self.pool_connections.set({"endpoint": name}, len(pool.connections))
            self.pool_waiting.set({"endpoint": name}, pool.waiting)
            self.pool_refusals.set({"endpoint": name}, pool.refusals)
            if pool.pace is not None:
                limit = pool.pace.limit if pool.pace.is_limited else math.inf
                self.pace_limit.set({"endpoint": name}, limit)

    def _collect_lags(self, view: GroupView) -> None:
        """Set each instance's lag behind the newest known position of its group.

        Positions are comparable only within a term, so only the newest term counts.
        """
        statuses = {
            name: instance.status
            for name, instance in view.instances.items()
            if instance.status is not None
        }
        term = max((status.term for status in statuses.values()), default=0)
        indexes = {
            name: status.index
            for name, status in statuses.items()
            if status.term == term
        }
        newest_index = max(indexes.values(), default=0)
        for name, index in indexes.items():
            self.position_lag.set({"endpoint": name}, newest_index - index)

    def count_region_bytes(self, route: str, byte_count: int) -> None:
        """Count bytes exchanged with another region."""
        self.region_bytes.add({"route": route}, byte_count)

"""Durable state of control VMs: a synced journal of records, and snapshots."""

from ._journal import Journal, StoredState

__all__ = ["Journal", "StoredState"]

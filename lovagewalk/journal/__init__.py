"""Durable state of control VMs: a synced journal of records, and snapshots."""

from ._journal import Journal, StoredState, read_frames

__all__ = ["Journal", "StoredState", "read_frames"]

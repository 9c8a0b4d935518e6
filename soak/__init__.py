"""Randomized soak test: checks guarantees of real processes under injected faults."""

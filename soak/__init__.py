"""A randomized soak: real processes, faults from outside them, promises checked."""

"""The fault schedule that a seed generates."""

import pytest

from soak._crowd import _behaviours
from soak._faults import (
    BEHAVIOURS,
    FIRST_DISK_SEED,
    FIRST_TRAFFIC_SEED,
    INSTANCES,
    Kill,
    LoseDisk,
    plan_faults,
)


def test_a_seed_always_generates_the_same_faults():
    assert plan_faults(7, 60.0) == plan_faults(7, 60.0)
    assert plan_faults(7, 60.0) != plan_faults(8, 60.0)


@pytest.mark.parametrize("seed", range(40))
def test_data_loss_stays_within_the_tolerance_of_the_fleet(seed):
    """Each loss of rows or of a disk leaves 9 s for its repair before the next one."""
    faults = plan_faults(seed, 120.0)
    rows = [f for f in faults if isinstance(f.fault, Kill)]
    rows = [f for f in rows if f.fault.target in INSTANCES]
    disks = [f for f in faults if isinstance(f.fault, LoseDisk)]
    for series in (rows, disks):
        for first, second in zip(series, series[1:], strict=False):
            assert second.at_s - first.at_s - first.fault.for_s >= 9.0


def test_every_kind_of_fault_is_generated():
    def kinds(first_seed):
        plans = (plan_faults(seed, 60.0) for seed in range(first_seed, first_seed + 20))
        return {type(f.fault).__name__ for faults in plans for f in faults}

    earlier = {"Kill", "Stop", "Pause", "LoseDisk", "TearLog", "HarmLink"}
    assert kinds(0) == earlier, "regressions keep their schedules"
    of_disks = {"FillDisk", "LosePower"}
    assert kinds(FIRST_DISK_SEED) == earlier | of_disks
    of_traffic = {"MoveRoute", "Crowd"}
    assert kinds(FIRST_TRAFFIC_SEED) == earlier | of_disks | of_traffic


def test_every_planned_behaviour_of_a_crowd_exists():
    assert all(behaviour in _behaviours for behaviour in BEHAVIOURS)

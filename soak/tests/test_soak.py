"""Short soak runs: one seed that failed in the past, one of disks, one of traffic."""

import pytest

from soak._run import soak

# Each run is long enough for an election, a failover and a restart. `python -m soak
# regress` runs all seeds that failed in the past at full length.
RUNS = [(1, 8.0), (6, 12.0), (2000, 10.0), (4217, 10.0)]


@pytest.mark.parametrize(("seed", "seconds"), RUNS)
async def test_guarantees_hold_under_the_faults_of_a_seed(seed, seconds, tmp_path):
    verdict = await soak(seed, seconds, tmp_path)
    assert verdict.violations == ()
    assert verdict.rows_by_outcome["done"] > 0 and verdict.served > 0

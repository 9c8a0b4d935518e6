"""Short runs of the soak, and seeds that once failed."""

import pytest

from soak._run import soak

# Long enough for an election, a failover and a restart; `python -m soak regress`
# plays the seeds that once failed in full.
RUNS = [(1, 8.0), (6, 12.0)]


@pytest.mark.parametrize(("seed", "seconds"), RUNS)
async def test_promises_hold_under_the_faults_of_a_seed(seed, seconds, tmp_path):
    verdict = await soak(seed, seconds, tmp_path)
    assert verdict.broken == ()
    assert verdict.told["done"] > 0 and verdict.served > 0

"""Short runs of the soak, and seeds that once failed."""

import pytest

from soak._run import soak

# Long enough for an election, a failover and a restart.
SECONDS = 8.0


@pytest.mark.parametrize("seed", [1])
async def test_promises_hold_under_the_faults_of_a_seed(seed, tmp_path):
    verdict = await soak(seed, SECONDS, tmp_path)
    assert verdict.broken == ()
    assert verdict.told["done"] > 0 and verdict.served > 0

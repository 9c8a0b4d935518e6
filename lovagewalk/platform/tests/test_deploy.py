"""Consistency of the deploy file with the program."""

import tomllib
from pathlib import Path

import pytest

import lovagewalk
from lovagewalk.platform._settings import METRICS_PORT, SECRET_VARIABLE
from lovagewalk.runtime._metrics_page import METRICS_PATH
from lovagewalk.settings import MIN_SECRET_LENGTH

DEPLOY = Path(lovagewalk.__file__).parent.parent / "deploy"


@pytest.mark.parametrize("role", ["entry", "control"])
def test_each_role_states_its_metrics_and_secret(role):
    roles = tomllib.loads((DEPLOY / "system.toml").read_text())["roles"]
    assert roles[role]["metrics"] == f"{METRICS_PORT}{METRICS_PATH}"
    assert len(roles[role]["env"][SECRET_VARIABLE]) >= MIN_SECRET_LENGTH


def test_deployed_requirements_are_among_the_tested_ones():
    tested = (DEPLOY.parent / "requirements.txt").read_text().split()
    deployed = (DEPLOY / "requirements.txt").read_text().split()
    assert set(deployed) <= set(tested)

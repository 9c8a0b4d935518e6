"""The platform's names occur only in this package, which stays small."""

import re
from pathlib import Path

import lovagewalk

ROOT = Path(lovagewalk.__file__).parent
PLATFORM_NAMES = re.compile(
    r"Lovagewalk-(Tenant|Expected|Instance|Lease|Fencing)|providerApi|seedNodes|"
    r"heartbeatAddr|maxStalenessMs|fencingEnforced|WAITLSN|NODB|NOAUTH|INDOUBT|"
    r"configApplyMs|strictRevoke|listenAddrs|dutyPerS|coldLeftMs|DATAROW|TOOMANY|"
    r"MISROUTED|apiKeys|ratePerS|read_your_writes|bounded_staleness|txIdleMs"
)
MAX_LINES = 1500


def _source_files(folder):
    return [path for path in sorted(folder.rglob("*.py")) if "tests" not in path.parts]


def test_platform_names_occur_in_no_other_package():
    platform = ROOT / "platform"
    for path in _source_files(ROOT):
        if platform not in path.parents:
            match = PLATFORM_NAMES.search(path.read_text())
            assert match is None, f"{path.relative_to(ROOT)}: {match}"


def test_the_adapter_stays_small():
    lines = sum(
        len(path.read_text().splitlines()) for path in _source_files(ROOT / "platform")
    )
    assert lines <= MAX_LINES


def test_the_adapter_has_no_reducers():
    """The package defines no reducer and does not change the daemon's state."""
    for path in _source_files(ROOT / "platform"):
        text = path.read_text()
        assert "@reduces" not in text and "shell.apply_step" not in text, path

"""The log of a control VM stays small, however long its entries are."""

from lovagewalk import catalogue as cat

from .control_fleet import ControlFleet, configuration

NAMES = ("10.0.0.1:7560", "10.0.0.2:7560", "10.0.0.3:7560")
DOCUMENT_BYTES = 300_000
CHANGES = 100
# A twelfth of the memory of a control VM, 296 MB.
MAX_DOCUMENT_BYTES = 24_000_000


def _log_bytes(fleet, name):
    entries = fleet.states[name].consensus.log.entries.values()
    commands = (entry.proposal.command for entry in entries)
    return sum(
        len(command.document)
        for command in commands
        if isinstance(command, cat.ReplaceConfiguration)
    )


def test_long_configurations_are_compacted_by_their_size():
    """500 of 1,250 routes took 335 MB: more than a control VM has, on all of them."""
    fleet = ControlFleet(NAMES, NAMES)
    fleet.run(2.0)
    for version in range(1, CHANGES + 1):
        command = configuration(version)
        document = command.document.ljust(DOCUMENT_BYTES)
        fleet.change(cat.ReplaceConfiguration(**_fields(command, document)))
        fleet.run(0.1)
    for name in NAMES:
        assert fleet.states[name].catalogue.version == CHANGES
        assert _log_bytes(fleet, name) < MAX_DOCUMENT_BYTES
    fleet.wipe(NAMES[2])
    fleet.run(4.0)
    assert fleet.states[NAMES[2]].catalogue.version == CHANGES


def _fields(command, document):
    fields = {name: getattr(command, name) for name in command.__slots__}
    return {**fields, "document": document}

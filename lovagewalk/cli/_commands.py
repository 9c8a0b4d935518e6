"""Commands of the command-line interface."""

import asyncio
import json
import secrets
import sys
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any
from urllib.parse import quote

import aiohttp
from mysql_mimic.auth import NativePasswordAuthPlugin

from lovagewalk.audit import AUDIT_FILE_NAME, parse_line, verify_lines
from lovagewalk.operators import OperatorClient, OperatorError
from lovagewalk.settings import (
    DaemonSettings,
    SettingsError,
    StandinFileSettings,
    load_settings,
)

from ._logs import configure_logging
from ._processes import run_daemon, run_standin

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
DEFAULT_ADDRESS = "127.0.0.1:8306"
HISTORY_COMMANDS = (
    "PutCustomer",
    "PutRoute",
    "IssueKey",
    "WithdrawKey",
    "SetZoneEvacuation",
)
# 18 bytes encode to 24 base64 characters without padding.
SECRET_BYTES = 18


class UsageError(Exception):
    """The command cannot run with the given arguments."""


def _call_daemon(
    address: str, token: str, request: Callable[[OperatorClient], Awaitable[Any]]
) -> Any:
    async def send() -> Any:
        async with OperatorClient(str(address), str(token)) as client:
            return await request(client)

    return asyncio.run(send())


def _print(value: Any) -> None:
    print(json.dumps(value, indent=2, sort_keys=True))


def _load_settings(path: str, schema: type) -> Any:
    cfg = load_settings(Path(str(path)))
    if not isinstance(cfg, schema):
        raise UsageError(f"{path} is not a settings file for this command")
    return cfg


class CatalogueCommands:
    """Read and change catalogue entries."""

    def get(self, token: str, address: str = DEFAULT_ADDRESS) -> None:
        """Print the catalogue with the revision of each entry."""
        _print(_call_daemon(address, token, lambda client: client.get("/catalogue")))

    def put(
        self,
        kind: str,
        name: str,
        token: str,
        expected: int = 0,
        address: str = DEFAULT_ADDRESS,
        request_id: str = "",
        operator: str = "operator",
        **fields: Any,
    ) -> None:
        """Write a customer or route entry.

        Parameters
        ----------
        kind : str
            ``customer`` (owner, rate, burst, weight) or ``route`` (owner,
            group, route_class, customers).
        expected : int
            Current revision of the entry; 0 for a new entry.
        request_id : str
            Idempotency key; repeat the command with the same value if the
            response was lost.
        """
        commands = {"customer": "PutCustomer", "route": "PutRoute"}
        if kind not in commands:
            raise UsageError("kind must be customer or route")
        entry = _build_entry(kind, str(name), fields)
        command = {"_type": commands[kind], "entry": entry, "expected": expected}
        request_id = str(request_id or secrets.token_hex(8))
        _print(
            _call_daemon(
                address,
                token,
                lambda client: client.change(
                    command, request_id=request_id, operator=str(operator)
                ),
            )
        )

    def history(
        self, token: str, name: str = "", address: str = DEFAULT_ADDRESS
    ) -> None:
        """Print accepted and refused changes of operators, oldest first."""
        for line in _fetch_audit(address, token):
            record = parse_line(line)
            if record.kind in HISTORY_COMMANDS:
                if str(name) in record.detail:
                    print(
                        f"{record.index}\t{record.operator}\t{record.kind}\t"
                        f"{record.result}\t{record.detail}"
                    )


def _build_entry(kind: str, name: str, fields: dict[str, Any]) -> dict[str, Any]:
    entry: dict[str, Any] = {"name": name, "owner": str(fields.pop("owner", ""))}
    if kind == "customer":
        for key, default in (("rate", None), ("burst", None), ("weight", 1.0)):
            value = fields.pop(key, default)
            if not isinstance(value, (int, float)):
                raise UsageError(f"{key} must be a number")
            entry[key] = float(value)
    else:
        customers = fields.pop("customers", ())
        if isinstance(customers, str):
            customers = customers.split(",")
        entry["group"] = str(fields.pop("group", ""))
        entry["route_class"] = str(fields.pop("route_class", "keyed")).upper()
        entry["customers"] = [str(customer) for customer in customers]
    if fields:
        raise UsageError(f"unknown fields: {', '.join(sorted(fields))}")
    return entry


class KeyCommands:
    """Issue and withdraw customers' keys."""

    def issue(
        self,
        customer: str,
        token: str,
        address: str = DEFAULT_ADDRESS,
        key_id: str = "",
    ) -> None:
        """Issue a key and print its secret, which is stored nowhere."""
        secret = secrets.token_urlsafe(SECRET_BYTES)
        key_id = str(key_id or f"{customer}-{secrets.token_hex(4)}")
        command = {
            "_type": "IssueKey",
            "key_id": key_id,
            "customer": str(customer),
            "digest": NativePasswordAuthPlugin.create_auth_string(secret),
        }
        response = _call_daemon(address, token, lambda client: client.change(command))
        _print({"key_id": key_id, "secret": secret, "revision": response["revision"]})

    def withdraw(self, key_id: str, token: str, address: str = DEFAULT_ADDRESS) -> None:
        """Withdraw a key; every daemon refuses it within seconds."""
        command = {"_type": "WithdrawKey", "key_id": str(key_id)}
        _print(_call_daemon(address, token, lambda client: client.change(command)))


class AuditCommands:
    """Export and verify the audit trail."""

    def export(
        self, token: str = "", address: str = DEFAULT_ADDRESS, folder: str = ""
    ) -> None:
        """Print the audit trail of a control VM or of a data folder."""
        for line in _read_audit(token, address, folder):
            print(line.rstrip("\n"))

    def verify(
        self,
        token: str = "",
        address: str = DEFAULT_ADDRESS,
        folder: str = "",
        file: str = "",
    ) -> None:
        """Verify the hash chain of a trail; exit with 1 if a record is invalid."""
        if file:
            lines = iter(Path(str(file)).read_text().splitlines())
        else:
            lines = _read_audit(token, address, folder)
        verification = verify_lines(lines)
        _print(
            {
                "records": verification.records,
                "gaps": verification.gaps,
                "fault": verification.fault or "none",
            }
        )
        if verification.fault:
            sys.exit(EXIT_FAILED)


def _read_audit(token: str, address: str, folder: str) -> Iterator[str]:
    if folder:
        path = Path(str(folder)) / AUDIT_FILE_NAME
        return iter(path.read_text().splitlines())
    return _fetch_audit(address, token)


def _fetch_audit(address: str, token: str) -> Iterator[str]:
    async def fetch(client: OperatorClient) -> str:
        return await client.get_text("/audit")

    return iter(_call_daemon(address, token, fetch).splitlines())


class Commands:
    """lovagewalk: a database proxy with session consistency."""

    def __init__(self) -> None:
        self.catalogue = CatalogueCommands()
        self.key = KeyCommands()
        self.audit = AuditCommands()

    def daemon(self, settings: str) -> None:
        """Run a daemon until SIGTERM, which drains and stops it."""
        cfg = _load_settings(settings, DaemonSettings)
        configure_logging(cfg.log.level, cfg.log.form)
        asyncio.run(run_daemon(cfg, Path(str(settings))))

    def standin(self, settings: str) -> None:
        """Run one instance of a stand-in database group."""
        cfg = _load_settings(settings, StandinFileSettings)
        configure_logging(cfg.log.level, cfg.log.form)
        asyncio.run(run_standin(cfg))

    def check(self, settings: str) -> None:
        """Check a settings file; exit with 2 and list all problems if it is invalid."""
        load_settings(Path(str(settings)))
        print("settings are valid")

    def status(self, token: str, address: str = DEFAULT_ADDRESS) -> None:
        """Print the status of one daemon with its groups and shares."""
        _print(_call_daemon(address, token, lambda client: client.get("/status")))

    def switch(
        self, group: str, endpoint: str, token: str, address: str = DEFAULT_ADDRESS
    ) -> None:
        """Promote another endpoint to primary of a group; no request is refused."""
        body = {"group": str(group), "endpoint": str(endpoint)}
        _print(
            _call_daemon(address, token, lambda client: client.post("/switch", body))
        )

    def evacuate(
        self,
        zone: str,
        token: str,
        withdraw: bool = False,
        address: str = DEFAULT_ADDRESS,
        operator: str = "operator",
    ) -> None:
        """Stop all work at the endpoints of a zone within 5 s.

        Parameters
        ----------
        withdraw : bool
            Return the zone to service instead.
        """
        path = f"/evacuations/{quote(str(zone), safe='')}"
        path = f"{path}?operator={quote(str(operator), safe='')}"

        async def send(client: OperatorClient) -> Any:
            return await (client.delete(path) if withdraw else client.post(path, {}))

        _print(_call_daemon(address, token, send))

    def drain(self, token: str, address: str = DEFAULT_ADDRESS) -> None:
        """Drain and stop a daemon."""
        _print(_call_daemon(address, token, lambda client: client.post("/drain", {})))

    def explain(self, request: str, *files: str) -> None:
        """Explain the outcome of a request from the logs of several VMs.

        Parameters
        ----------
        request : str
            Request id that the caller set.
        files : str
            Log files, one or more per VM.
        """
        from lovagewalk.explain import explain, parse_log

        records = []
        for path in map(str, files):
            try:
                lines = Path(path).read_text(errors="replace").splitlines()
            except OSError as exc:
                raise UsageError(f"{path}: {exc.strerror}") from exc
            records += parse_log(Path(path).stem, lines)
        explanation = explain(str(request), records)
        if explanation is None:
            raise UsageError(f"no log line mentions request {request}")
        for record in sorted(
            explanation.lines + explanation.context, key=lambda r: r.time
        ):
            fields = " ".join(
                f"{key}={value}" for key, value in record.fields.items() if value != ""
            )
            print(f"{record.time} {record.vm} {record.part}: {record.message} {fields}")
        print(explanation.cause)

    def load(
        self,
        fleet: str,
        seconds: float = 10.0,
        rate: float = 20.0,
        write_share: float = 0.2,
        flood: float = 1.0,
        faults: str = "",
        output: str = "",
        seed: int = 1,
    ) -> None:
        """Generate load on a fleet and print the results of each customer.

        Parameters
        ----------
        fleet : str
            File with the line that ``lovagewalk demo --hold`` prints.
        rate : float
            Requests per second of each small customer; each of the two large
            customers sends three times as many.
        flood : float
            Multiplier for the rate of the last customer.
        faults : str
            Comma-separated list of ``name@seconds``. The names are cut-primary,
            lag-replica, drain-vm, and withdraw-key, which withdraws the key of the
            last customer.
        output : str
            File to which the results are written as JSON.
        """
        from lovagewalk import load

        fleet_json = Path(str(fleet)).read_text()
        if isinstance(faults, tuple):
            faults = ",".join(faults)
        try:
            fleet_address = load.parse_fleet(fleet_json)
            options = load.LoadOptions(
                float(seconds),
                float(rate),
                float(write_share),
                float(flood),
                int(seed),
                load.parse_faults(str(faults)),
                str(output),
            )
        except (ValueError, KeyError) as exc:
            raise UsageError(f"invalid argument: {exc}") from exc
        customers = json.loads(fleet_json)["customers"]
        reports = asyncio.run(load.run_load(fleet_address, customers, options))
        load.print_table(reports)
        if output:
            load.write_json(str(output), reports, options)

    def demo(self, hold: bool = False, data_folder: str = "") -> None:
        """Run a fleet in this process and check its guarantees.

        Parameters
        ----------
        hold : bool
            Keep the fleet running until SIGTERM and print its addresses as JSON.
        """
        from lovagewalk.demo import run_demo, run_fleet

        configure_logging("WARNING", "text")
        folder = Path(str(data_folder)) if data_folder else None
        if hold:
            asyncio.run(run_fleet(folder))
        elif not asyncio.run(run_demo(folder)):
            sys.exit(EXIT_FAILED)


def run_command(call: Callable[[], Any]) -> int:
    """Run a command and return its exit status; print errors to standard error."""
    try:
        call()
    except SettingsError as exc:
        for problem in exc.problems:
            print(f"{exc.code.label} {problem}", file=sys.stderr)
        return EXIT_BAD_INPUT
    except UsageError as exc:
        print(exc, file=sys.stderr)
        return EXIT_BAD_INPUT
    except (OperatorError, aiohttp.ClientError, TimeoutError) as exc:
        print(f"{exc}" or "the daemon does not respond", file=sys.stderr)
        return EXIT_FAILED
    return 0

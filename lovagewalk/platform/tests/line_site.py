"""Harness: a site whose statements go over the line protocol, without a network.

A test plays the endpoints: it takes the messages that a connection was sent, and gives
the answers.
"""

from lovagewalk.core import perform
from lovagewalk.platform._endpoints import EndpointClient, EndpointConnection
from lovagewalk.pools import CloseConnection
from lovagewalk.routing import RunStatement, SetUpConnection, StatementKind
from lovagewalk.routing.tests.provider_site import Site
from lovagewalk.runtime import Metrics

AT_CONNECTIONS = (CloseConnection, RunStatement, SetUpConnection)


class RecordingTransport:
    """A transport that keeps the lines that are written to it."""

    def __init__(self):
        self.lines = []
        self.aborted = False

    def get_extra_info(self, name):
        return None

    def write(self, data):
        self.lines += data.decode().splitlines()

    def is_closing(self):
        return self.aborted

    def abort(self):
        self.aborted = True


class LinePorts:
    """The part of a daemon's ports that the adapter uses, in front of a site."""

    def __init__(self, site):
        self._site = site
        self.results = {}
        self.metrics = Metrics()
        self.endpoints = EndpointClient(self)

    @property
    def state(self):
        return self._site.state

    def now(self):
        return self._site.now

    def feed(self, event):
        self._site.feed(event)


class LineSite(Site):
    """A site behind the adapter of the line protocol.

    Attributes
    ----------
    lines : dict of int to EndpointConnection
        Every connection that was opened, by its number.
    """

    def __init__(self, **fields):
        self.ports = LinePorts(self)
        self.lines = {}
        super().__init__(**fields)

    def open(self, effect):
        line = EndpointConnection(lambda: self.ports.endpoints.connection_lost(effect))
        line._transport = RecordingTransport()
        self.lines[effect.conn] = self.ports.endpoints._conns[effect.conn] = line
        super().open(effect)

    def apply_step(self, step):
        super().apply_step(step)
        for effect in step.effects:
            if isinstance(effect, AT_CONNECTIONS):
                perform(self.ports, effect)

    def take(self):
        """Return the connection that was sent something, and the new messages.

        There is at most one such connection, unless all are closed.
        """
        sent = [
            (number, line)
            for number, line in self.lines.items()
            if line._transport.lines and not line._transport.aborted
        ]
        if not sent:
            return 0, []
        ((number, line),) = sent
        lines, line._transport.lines = line._transport.lines, []
        return number, [text.removeprefix("QUERY ") for text in lines]

    def answer(self, number, *answers):
        """Answer messages of a connection, in one piece.

        Each answer is the state of the connection, then a code of an error, or `signed`
        for the result of a read, a write or a commit; nothing for other successes.
        """
        text = ""
        for item in answers:
            state, _, outcome = item.partition(" ")
            if outcome == "signed":
                text += "COMPLETE 7.1f3\r\n"
            elif outcome:
                text += f"ERROR {outcome} i-1\r\n"
            else:
                text += "COMPLETE -\r\n"
            text += f"READY {state} 1.11\r\n"
        self.lines[number].data_received(text.encode())

    def is_closed(self, number):
        return self.lines[number]._transport.aborted

    def lose(self, number):
        """Let the endpoint close a connection."""
        self.lines[number]._transport.aborted = True
        self.lines[number].connection_lost(None)

    def connect_with_value(self, route_name):
        """Connect a caller that has set a session variable."""
        caller = self.connect(route_name)
        self.set_variable(caller, "branch", "b1")
        return caller

    def open_transaction(self, route_name, kind=StatementKind.WRITE):
        """Open a transaction; return its caller and its connection."""
        caller = self.begin(route_name, kind)
        number, _ = self.take()
        self.answer(number, "T")
        self.take()
        self.answer(number, "T signed")
        return caller, number

    def set_pooled_value(self, route_name):
        """Leave an idle connection on which another session's variable is set."""
        self.write(self.connect_with_value(route_name))
        number, _ = self.take()
        self.answer(number, "I")
        self.take()
        self.answer(number, "I signed")
        return number

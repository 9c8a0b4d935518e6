"""Resets connections: listens on addresses once it is told to, until it is ended.

Each connection is reset as soon as it is open, as a network does whose other end has
gone. Arguments are addresses (HOST:PORT); it listens when a line comes on its input.
"""

import socket
import struct
import sys

RESET = struct.pack("ii", 1, 0)


def listen(address):
    host, _, port = address.rpartition(":")
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted connections inherit it: their close is a reset.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    listener.bind((host, int(port)))
    listener.listen(64)
    listener.setblocking(False)
    return listener


def main(addresses):
    sys.stdin.readline()
    listeners = [listen(address) for address in addresses]
    while True:
        for listener in listeners:
            try:
                listener.accept()[0].close()
            except BlockingIOError:
                continue


main(sys.argv[1:])

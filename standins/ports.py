"""Free TCP ports for processes whose port is configured before they bind it."""

import itertools
import os
import socket

# Below the ephemeral ports (from 32,768 on Linux): an outgoing connection may take one
# of those between the check and the bind.
FIRST_PORT = 10_240
PORTS_PER_PROCESS = 256
PROCESSES = 84

_offsets = itertools.count()


def free_port() -> int:
    """Return a port that can be bound now, from a part of the range set by the PID."""
    first = FIRST_PORT + os.getpid() % PROCESSES * PORTS_PER_PROCESS
    for _ in range(PORTS_PER_PROCESS):
        port = first + next(_offsets) % PORTS_PER_PROCESS
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port
    raise OSError(f"no free port from {first} on")

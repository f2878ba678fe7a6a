"""Free TCP ports for processes whose port is configured before they bind it."""

import itertools
import os
import socket

# Below the ephemeral ports (from 32,768 on Linux): an outgoing connection may take one
# of those between the check and the bind.
FIRST_PORT = 10_240
PORTS_PER_PROCESS = 256
PROCESSES = 84


class PortRange:
    """Ports that only one process hands out.

    The process holds the first port bound as long as it lives, which keeps the range
    from other processes whose PID leads to it.

    :ivar owner: PID of the process.
    """

    def __init__(self, claim: socket.socket) -> None:
        self.owner = os.getpid()
        self._claim = claim
        self._first = claim.getsockname()[1] + 1
        self._offsets = itertools.count()

    @classmethod
    def claim(cls) -> "PortRange":
        """Claim the first unclaimed range, beginning with the one set by the PID.

        :raises OSError: if all ranges are claimed.
        """
        for number in range(PROCESSES):
            index = (os.getpid() + number) % PROCESSES
            # Without SO_REUSEADDR, as with it two sockets may be bound to one port.
            claim = socket.socket()
            try:
                claim.bind(("127.0.0.1", FIRST_PORT + index * PORTS_PER_PROCESS))
            except OSError:
                claim.close()
                continue
            return cls(claim)
        raise OSError(f"all {PROCESSES} ranges of ports are claimed")

    def free_port(self) -> int:
        """Return the next port of the range that can be bound now.

        :raises OSError: if none can.
        """
        for _ in range(PORTS_PER_PROCESS - 1):
            port = self._first + next(self._offsets) % (PORTS_PER_PROCESS - 1)
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
            return port
        raise OSError(f"no free port from {self._first} on")


_range: PortRange | None = None


def free_port() -> int:
    """Return a port that can be bound now, from the range of this process.

    :raises OSError: if there is none.
    """
    global _range
    if _range is None or _range.owner != os.getpid():
        _range = PortRange.claim()
    return _range.free_port()

import socket

from standins.ports import FIRST_PORT, PORTS_PER_PROCESS, PROCESSES, free_port

FIRST_EPHEMERAL_PORT = 32_768


def test_ports_are_below_the_ephemeral_range():
    # Guards against tests that fail because an outgoing connection took a free port
    # before the test's process bound it.
    ports = [free_port() for _ in range(20)]
    assert len(set(ports)) == 20
    assert all(FIRST_PORT <= port < FIRST_EPHEMERAL_PORT for port in ports)
    assert FIRST_PORT + PORTS_PER_PROCESS * PROCESSES <= FIRST_EPHEMERAL_PORT


def test_port_in_use_is_skipped():
    taken = free_port()
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", taken))
        listener.listen()
        ports = {free_port() for _ in range(PORTS_PER_PROCESS)}
    assert taken not in ports

import socket

from standins.ports import FIRST_PORT, PORTS_PER_PROCESS, PROCESSES, free_port

FIRST_EPHEMERAL_PORT = 32_768


def test_ports_are_not_those_that_the_system_hands_out():
    # Guards against tests that fail since a connection took the port that they had
    # asked for.
    ports = [free_port() for _ in range(20)]
    assert len(set(ports)) == 20
    assert all(FIRST_PORT <= port < FIRST_EPHEMERAL_PORT for port in ports)
    assert FIRST_PORT + PORTS_PER_PROCESS * PROCESSES <= FIRST_EPHEMERAL_PORT


def test_port_in_use_is_passed_over():
    taken = free_port()
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", taken))
        listener.listen()
        ports = {free_port() for _ in range(PORTS_PER_PROCESS)}
    assert taken not in ports

import socket
import subprocess
import sys

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


PROGRAM = """
import os, sys
os.getpid = lambda: 1234
from standins.ports import free_port
print(*(free_port() for _ in range(30)), flush=True)
sys.stdin.read()
"""


def test_processes_whose_pids_lead_to_one_range_hand_out_other_ports():
    # Guards against "address already in use" in suites that run beside each other.
    processes = [
        subprocess.Popen(
            [sys.executable, "-c", PROGRAM],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(2)
    ]
    try:
        first, second = (set(item.stdout.readline().split()) for item in processes)
    finally:
        for process in processes:
            process.communicate()
    assert len(first) == len(second) == 30
    assert not first & second


def test_range_is_free_again_after_its_process():
    # Guards against ranges that run out, as each process keeps one.
    def first_port():
        command = [sys.executable, "-c", PROGRAM]
        return subprocess.run(command, input="", capture_output=True, text=True).stdout

    assert first_port() == first_port()

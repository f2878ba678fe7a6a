"""Cost of the peer mesh, bytes of record exchange, time to distribute a bundle.

``python -m measure.peers`` prints one figure per line: name, value, unit, bound.
``python -m measure.peers mesh`` (or ``records``, ``bundle``) prints one group.
"""

import asyncio
import json
import random
import resource
import subprocess
import sys
import time

from heathershunt.bundle import (
    Bundle,
    BundleKeeper,
    BundleReplicator,
    ClientAccount,
    Priority,
    SignedRoot,
    encode_root,
    sign_root,
    split_bundle,
)
from heathershunt.clock import Millis, SystemClock
from heathershunt.membership import Membership, RecordExchange, VmRecord
from heathershunt.peers import (
    Heartbeat,
    Hello,
    MeshLimits,
    PeerMesh,
    Records,
    choose_neighbours,
    encode_message,
)
from heathershunt.peers.messages import MAX_RECORDS_PER_MESSAGE
from heathershunt.peers.topology import LINKS_CHOSEN

FLEET_SIZES = (4, 8, 32, 128, 390)
DOMAINS = 9
WARM_UP_SECONDS = 4
MEASURE_SECONDS = 10
# Masked WebSocket header, TCP/IP headers, and an acknowledgement without data.
WIRE_BYTES_PER_MESSAGE = 8 + 52 + 52
ACCOUNTS = 27_000
PRIVATE_KEY = "01" * 32
# The VM whose cost is measured.
SUBJECT = "vm-0"


def print_figure(name, value, unit, bound="-"):
    """Print one figure."""
    print(f"{name:58} {value:>12} {unit:10} {bound}", flush=True)


def fleet_records(size, address_by_vm=None):
    """Return the records of a fleet of ``size`` VMs.

    :param address_by_vm: peer addresses; other VMs get an empty one.
    """
    addresses = address_by_vm or {}
    return [
        VmRecord(
            f"vm-{i}",
            1_700_000_000_000 + i,
            f"10.0.{i // 250}.{i % 250}:8080",
            addresses.get(f"vm-{i}", ""),
            f"10.0.{i // 250}.{i % 250}:8081",
            f"domain-{i % DOMAINS}",
            f"region-{i % DOMAINS % 4}",
        )
        for i in range(size)
    ]


class Daemon:
    """The parts of a daemon for peers: mesh, membership, record exchange, bundles.

    :param links_chosen: links that the VM chooses itself.
    :param trusted: public keys that bundles may be signed with.
    """

    def __init__(self, record, links_chosen=LINKS_CHOSEN, trusted=()):
        self.clock = SystemClock()
        self.record = record
        self.links_chosen = links_chosen
        self.rng = random.Random(record.vm)
        self.keeper = BundleKeeper(trusted)
        self.mesh = PeerMesh(
            lambda: self.exchange.hello(),
            self.heartbeat,
            self.clock,
            self.rng,
            MeshLimits(),
        )
        self.replicator = BundleReplicator(self.keeper, self.mesh, self.clock)

    def heartbeat(self):
        """Return the current heartbeat of the daemon."""
        own, keeper = self.members.own, self.keeper
        digest = self.members.digest
        return Heartbeat(
            own.vm,
            own.incarnation,
            time.time_ns() // 1_000_000 << 16,
            keeper.version,
            keeper.sha256,
            digest,
        )

    async def start(self, others=()):
        """Listen on a free port, add the records ``others``, start the exchange."""
        await self.mesh.start("127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.mesh.port}"
        fields = {**vars(self.record), "peers": self.address}
        self.members = Membership(VmRecord(**fields), self.clock.now())
        self.members.merge(others, self.clock.now())
        self.exchange = RecordExchange(
            self.members, self.mesh, self.clock, self.rng, self.links_chosen
        )
        self.exchange.start()


def neighbours_of_subject(size, links_chosen):
    """Return the VMs that the subject chooses and the VMs that choose it."""
    domain_by_vm = {r.vm: r.domain for r in fleet_records(size)}
    chosen = choose_neighbours(SUBJECT, domain_by_vm, links_chosen)
    choosers = {
        vm
        for vm in domain_by_vm
        if vm != SUBJECT
        and SUBJECT in choose_neighbours(vm, domain_by_vm, links_chosen)
    }
    return chosen, choosers


async def run_neighbours(size, links_chosen, churn):
    """Run a mesh for every VM that is linked to the subject, in one process.

    They share one membership, so their records are always equal. Prints their addresses
    and reads that of the subject.

    :param churn: change the record of a VM that is not linked, once a second.
    """
    chosen, choosers = neighbours_of_subject(size, links_chosen)
    membership = Membership(VmRecord("nobody", 0, dead=True), Millis(0))
    clock = SystemClock()
    meshes = {}
    record_by_vm = {record.vm: record for record in fleet_records(size)}
    for vm in sorted(chosen | choosers):
        record = record_by_vm[vm]
        meshes[vm] = PeerMesh(
            lambda r=record: Hello(r.vm, r.incarnation),
            lambda r=record: Heartbeat(
                r.vm, r.incarnation, 2**60, 1, "ab" * 32, membership.digest
            ),
            clock,
            random.Random(vm),
        )
        await meshes[vm].start("127.0.0.1", 0)
    addresses = {vm: f"127.0.0.1:{mesh.port}" for vm, mesh in meshes.items()}
    print(json.dumps(addresses), flush=True)
    loop = asyncio.get_running_loop()
    subject = json.loads(await loop.run_in_executor(None, sys.stdin.readline))
    records = fleet_records(size, {**addresses, SUBJECT: subject})
    membership.merge(records, clock.now())
    for vm in choosers:
        meshes[vm].set_persistent_peers({SUBJECT: subject})
    for vm in chosen - choosers:
        meshes[vm].set_persistent_peers({SUBJECT: ""})
    changed_record = next((r for r in records if r.vm not in {SUBJECT, *meshes}), None)
    seq = 0
    while churn and changed_record:
        await asyncio.sleep(1)
        seq += 1
        record = VmRecord(**{**vars(changed_record), "seq": seq})
        membership.merge([record], clock.now())
        for mesh in meshes.values():
            mesh.broadcast(Records((record,)))
    await loop.run_in_executor(None, sys.stdin.readline)


async def run_subject(size, links_chosen, addresses):
    """Run the subject and print its address, then its figures, as JSON.

    Rates are per second: ``cpu`` in % of a core, ``payload`` and ``wire`` in bytes.
    """
    records = fleet_records(size, addresses)
    daemon = Daemon(records[0], links_chosen)
    await daemon.start(records[1:])
    print(json.dumps(daemon.address), flush=True)
    await asyncio.sleep(WARM_UP_SECONDS)
    links = daemon.mesh.links_by_vm
    names = ("sent_bytes", "received_bytes", "sent_messages", "received_messages")

    def totals():
        return [sum(getattr(link, n) for link in links.values()) for n in names]

    before, cpu, start = totals(), time.process_time(), time.monotonic()
    await asyncio.sleep(MEASURE_SECONDS)
    seconds = time.monotonic() - start
    cpu = time.process_time() - cpu
    bytes_sent, bytes_received, messages_sent, messages_received = (
        (b - a) / seconds for a, b in zip(before, totals(), strict=True)
    )
    result = {
        "links": len(links),
        "cpu": 100 * cpu / seconds,
        "payload": bytes_sent + bytes_received,
        "wire": bytes_sent
        + bytes_received
        + (messages_sent + messages_received) * WIRE_BYTES_PER_MESSAGE,
        "mb": resident_mb(),
        "live": len(daemon.members.present()),
    }
    print(json.dumps(result), flush=True)


def resident_mb():
    """Return the resident memory of this process in megabytes."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize() / 1e6


def spawn(*arguments):
    """Start a process of this module that exchanges JSON lines over its pipes."""
    return subprocess.Popen(
        [sys.executable, "-m", "measure.peers", *map(str, arguments)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )


def write_json(process, value):
    """Send one JSON line to a process."""
    process.stdin.write(json.dumps(value) + "\n")
    process.stdin.flush()


def measure_mesh(size, links_chosen, churn=False):
    """Return the figures of the subject in a fleet of ``size`` VMs."""
    neighbours = spawn("impersonate", size, links_chosen, int(churn))
    subject = None
    try:
        addresses = json.loads(neighbours.stdout.readline())
        subject = spawn("subject", size, links_chosen)
        write_json(subject, addresses)
        write_json(neighbours, json.loads(subject.stdout.readline()))
        return json.loads(subject.stdout.readline())
    finally:
        for process in (neighbours, subject):
            if process is not None:
                process.kill()
                process.wait()


def report_mesh():
    """Print the cost of the mesh for each fleet size, and of a full mesh."""
    for kind, churn in (("steady", False), ("1 change/s", True)):
        for size in FLEET_SIZES:
            print_mesh(f"mesh, {size} VMs, {kind}", measure_mesh(size, 4, churn))
    rows = []
    for size in (32, 128, 390):
        result = measure_mesh(size, size)
        rows.append((size, result))
        print_mesh(f"full mesh (alternative), {size} VMs", result)
    (low, first), (high, last) = rows[0], rows[-1]
    for key, unit in (("cpu", "%/link"), ("wire", "B/s/link"), ("mb", "MB/link")):
        slope = (last[key] - first[key]) / (high - low)
        print_figure(f"slope of {key}, full mesh", f"{slope:.4f}", unit)


def print_mesh(name, result):
    """Print the figures of one run."""
    print_figure(f"{name}: links", result["links"], "links")
    print_figure(f"{name}: live records", result["live"], "VMs")
    print_figure(f"{name}: CPU", f"{result['cpu']:.3f}", "% core", "1.9")
    print_figure(f"{name}: payload", f"{result['payload'] / 1000:.3f}", "KB/s", "28")
    print_figure(f"{name}: with headers", f"{result['wire'] / 1000:.3f}", "KB/s", "28")
    print_figure(f"{name}: resident memory", f"{result['mb']:.1f}", "MB", "256")


def records_bytes(records):
    """Return the bytes of the messages that carry ``records``."""
    starts = range(0, len(records), MAX_RECORDS_PER_MESSAGE)
    batches = [records[i : i + MAX_RECORDS_PER_MESSAGE] for i in starts]
    return sum(len(encode_message(Records(tuple(batch)))) for batch in batches)


def report_records():
    """Print the bytes on one link that make 390 records equal, for three methods.

    ``delta`` sends the changed records, ``full`` sends all records both ways, and
    ``ranges`` sends a digest of 9 bytes for each range of names both ways, then the
    records of the ranges that differ.
    """
    records = fleet_records(390, {f"vm-{i}": f"10.0.0.1:{i}" for i in range(390)})
    rng = random.Random(1)
    full = 2 * records_bytes(records)
    for changed in (1, 8, 43, 195):
        print_figure(
            f"records, {changed} changed of 390: delta",
            records_bytes(rng.sample(records, changed)),
            "B/link",
        )
        print_figure(f"records, {changed} changed of 390: full", full, "B/link")
        for ranges in (16, 64):
            changed_ranges = {
                hash(record.vm) % ranges for record in rng.sample(records, changed)
            }
            sent = [r for r in records if hash(r.vm) % ranges in changed_ranges]
            size = 2 * records_bytes(sent) + 2 * 9 * ranges
            print_figure(
                f"records, {changed} changed of 390: {ranges} ranges", size, "B/link"
            )


def make_bundle(version, changed=0):
    """Return the signed root and the parts of a bundle of 27,000 accounts.

    :param changed: number of accounts with a share of 2; the others have 1.
    """
    accounts_by_name = {}
    for i in range(ACCOUNTS):
        name = f"account-{i:05}"
        share = 2 if i < changed else 1
        accounts_by_name[name] = ClientAccount(name, (f"{i:064x}",), share)
    priorities = {"normal": Priority("normal", 1)}
    bundle = Bundle(version, accounts_by_name, priorities_by_name=priorities)
    root, parts = split_bundle(bundle, 0)
    return sign_root(SignedRoot(encode_root(root)), PRIVATE_KEY), parts


def public_key():
    """Return the public key of ``PRIVATE_KEY``."""
    signed = sign_root(SignedRoot(b""), PRIVATE_KEY)
    return next(iter(signed.signatures_by_key))


async def run_daemon(index, is_source):
    """Run one daemon and distribute two bundle versions.

    For each version it prints the monotonic time at which the version was in force, the
    bytes received, the longest stall of the event loop in milliseconds, and the live
    members.

    :param is_source: publish the versions rather than receive them.
    """
    daemon = Daemon(fleet_records(index + 1)[index], trusted=[public_key()])
    await daemon.start()
    bundles = [make_bundle(1), make_bundle(2, changed=1)] if is_source else []
    print(json.dumps(daemon.address), flush=True)
    loop = asyncio.get_running_loop()
    seeds = json.loads(await loop.run_in_executor(None, sys.stdin.readline))
    daemon.mesh.set_seeds(seeds)
    longest_stall = [0.0]
    tracker = asyncio.create_task(track_longest_stall(longest_stall))
    for version in (1, 2):
        await loop.run_in_executor(None, sys.stdin.readline)
        longest_stall[0] = 0.0
        received = sum(x.received_bytes for x in daemon.mesh.links_by_vm.values())
        if is_source:
            outcome = daemon.keeper.offer(*bundles[version - 1])
            assert outcome.is_ok(), outcome
            print(json.dumps([time.monotonic(), 0, 0, 0]), flush=True)
            daemon.replicator.announce()
            continue
        while daemon.keeper.version < version:
            await asyncio.sleep(0.005)
        applied_at = time.monotonic()
        links = daemon.mesh.links_by_vm.values()
        received = sum(link.received_bytes for link in links) - received
        await asyncio.sleep(0.1)
        row = [
            applied_at,
            received,
            1000 * longest_stall[0],
            len(daemon.members.present()),
        ]
        print(json.dumps(row), flush=True)
    await loop.run_in_executor(None, sys.stdin.readline)
    tracker.cancel()


async def track_longest_stall(longest_stall):
    """Track the longest stall of the event loop, in seconds.

    :param longest_stall: list of one value; the caller resets it.
    """
    last = time.monotonic()
    while True:
        await asyncio.sleep(0.002)
        now = time.monotonic()
        longest_stall[0] = max(longest_stall[0], now - last - 0.002)
        last = now


def measure_bundle(daemons):
    """Return the rows of all receivers for a new bundle, then for one changed account.

    Rows are those of :func:`run_daemon`, with the time since the source published.
    """
    processes = [spawn("daemon", i, int(i == 0)) for i in range(daemons)]
    try:
        addresses = [json.loads(p.stdout.readline()) for p in processes]
        for index, process in enumerate(processes):
            write_json(process, [addresses[0]] if index else [])
        time.sleep(5)
        results = []
        for _ in range(2):
            for process in reversed(processes):
                write_json(process, "go")
            start, *rows = [json.loads(p.stdout.readline()) for p in processes]
            rows = [[row[0] - start[0], *row[1:]] for row in rows]
            results.append(rows)
            time.sleep(2)
        return results
    finally:
        for process in processes:
            process.kill()
            process.wait()


def report_bundle():
    """Print the time and bytes for a bundle to reach every daemon through peers."""
    for daemons in (4, 16):
        kinds = ("27,000 new accounts", "1 changed account")
        for kind, rows in zip(kinds, measure_bundle(daemons), strict=True):
            name = f"bundle, {daemons} daemons, {kind}"
            print_figure(f"{name}: last", f"{max(r[0] for r in rows):.3f}", "s", "17")
            print_figure(f"{name}: received", max(r[1] for r in rows), "B/daemon")
            print_figure(
                f"{name}: longest stall", f"{max(r[2] for r in rows):.0f}", "ms"
            )


GROUPS = {"mesh": report_mesh, "records": report_records, "bundle": report_bundle}


def main(arguments):
    """Run all groups, one group, or one of the processes that a group starts."""
    if arguments[:1] == ["impersonate"]:
        asyncio.run(
            run_neighbours(int(arguments[1]), int(arguments[2]), arguments[3] == "1")
        )
    elif arguments[:1] == ["subject"]:
        addresses = json.loads(sys.stdin.readline())
        asyncio.run(run_subject(int(arguments[1]), int(arguments[2]), addresses))
    elif arguments[:1] == ["daemon"]:
        asyncio.run(run_daemon(int(arguments[1]), arguments[2] == "1"))
    else:
        for name in arguments or GROUPS:
            GROUPS[name]()


if __name__ == "__main__":
    main(sys.argv[1:])

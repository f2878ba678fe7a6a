"""Cost of the mesh, bytes of record exchange, time of a bundle through peers.

``python -m measure.peers`` prints one figure a line: name, value, unit, bound.
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
# Masked WebSocket header, TCP/IP header, and a bare acknowledgement per message.
WIRE_BYTES_PER_MESSAGE = 8 + 52 + 52
ACCOUNTS = 27_000
PRIVATE_KEY = "01" * 32
SUBJECT = "vm-0"


def figure(name, value, unit, bound="-"):
    """Print one figure."""
    print(f"{name:58} {value:>12} {unit:10} {bound}", flush=True)


def fleet_records(size, address_by_vm=None):
    """Return the records of a fleet, with real addresses where they are known."""
    known = address_by_vm or {}
    return [
        VmRecord(
            f"vm-{i}",
            1_700_000_000_000 + i,
            f"10.0.{i // 250}.{i % 250}:8080",
            known.get(f"vm-{i}", ""),
            f"10.0.{i // 250}.{i % 250}:8081",
            f"domain-{i % DOMAINS}",
            f"region-{i % DOMAINS % 4}",
        )
        for i in range(size)
    ]


class Daemon:
    """Peer side of one daemon: mesh, membership, exchange, bundle."""

    def __init__(self, record, links_chosen=LINKS_CHOSEN, trusted=()):
        self.clock = SystemClock()
        self.record = record
        self.links_chosen = links_chosen
        self.rng = random.Random(record.vm)
        self.keeper = BundleKeeper(trusted)
        self.mesh = PeerMesh(
            lambda: self.exchange.hello(),
            self.beat,
            self.clock,
            self.rng,
            MeshLimits(),
        )
        self.replicator = BundleReplicator(self.keeper, self.mesh, self.clock)

    def beat(self):
        """Return the heartbeat of this daemon."""
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
        """Bind, take the records of others, start."""
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


async def impersonate(size, links_chosen, churn):
    """Run the VMs that are linked to the subject; they agree on all records."""
    chosen, choosers = neighbours_of_subject(size, links_chosen)
    fleet = Membership(VmRecord("nobody", 0, dead=True), Millis(0))
    clock = SystemClock()
    meshes = {}
    record_by_vm = {record.vm: record for record in fleet_records(size)}
    for vm in sorted(chosen | choosers):
        record = record_by_vm[vm]
        meshes[vm] = PeerMesh(
            lambda r=record: Hello(r.vm, r.incarnation),
            lambda r=record: Heartbeat(
                r.vm, r.incarnation, 2**60, 1, "ab" * 32, fleet.digest
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
    fleet.merge(records, clock.now())
    for vm in choosers:
        meshes[vm].set_persistent_peers({SUBJECT: subject})
    for vm in chosen - choosers:
        meshes[vm].set_persistent_peers({SUBJECT: ""})
    changing = next((r for r in records if r.vm not in {SUBJECT, *meshes}), None)
    seq = 0
    while churn and changing:
        await asyncio.sleep(1)
        seq += 1
        record = VmRecord(**{**vars(changing), "seq": seq})
        fleet.merge([record], clock.now())
        for mesh in meshes.values():
            mesh.broadcast(Records((record,)))
    await loop.run_in_executor(None, sys.stdin.readline)


async def run_subject(size, links_chosen, addresses):
    """Run the daemon that is measured and print its figures."""
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
    sent, received, out, into = (
        (b - a) / seconds for a, b in zip(before, totals(), strict=True)
    )
    result = {
        "links": len(links),
        "cpu": 100 * cpu / seconds,
        "payload": sent + received,
        "wire": sent + received + (out + into) * WIRE_BYTES_PER_MESSAGE,
        "mb": resident_mb(),
        "live": len(daemon.members.present()),
    }
    print(json.dumps(result), flush=True)


def resident_mb():
    """Return the resident memory of this process in megabytes."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize() / 1e6


def spawn(*arguments):
    """Start this module as a process with JSON lines on its pipes."""
    return subprocess.Popen(
        [sys.executable, "-m", "measure.peers", *map(str, arguments)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )


def tell(process, value):
    """Send one JSON line to a process."""
    process.stdin.write(json.dumps(value) + "\n")
    process.stdin.flush()


def measure_mesh(size, links_chosen, churn=False):
    """Return the figures of one daemon in a fleet of ``size`` VMs."""
    sender = spawn("impersonate", size, links_chosen, int(churn))
    subject = None
    try:
        addresses = json.loads(sender.stdout.readline())
        subject = spawn("subject", size, links_chosen)
        tell(subject, addresses)
        tell(sender, json.loads(subject.stdout.readline()))
        return json.loads(subject.stdout.readline())
    finally:
        for process in (sender, subject):
            if process is not None:
                process.kill()
                process.wait()


def report_mesh():
    """Print cost against the size of the fleet."""
    for kind, churn in (("steady", False), ("1 change/s", True)):
        for size in FLEET_SIZES:
            report_one(f"mesh, {size} VMs, {kind}", measure_mesh(size, 4, churn))
    rows = []
    for size in (32, 128, 390):
        got = measure_mesh(size, size)
        rows.append((size, got))
        report_one(f"full mesh (alternative), {size} VMs", got)
    (low, first), (high, last) = rows[0], rows[-1]
    for key, unit in (("cpu", "%/link"), ("wire", "B/s/link"), ("mb", "MB/link")):
        slope = (last[key] - first[key]) / (high - low)
        figure(f"slope of {key}, full mesh", f"{slope:.4f}", unit)


def report_one(name, got):
    """Print the figures of one run."""
    figure(f"{name}: links", got["links"], "links")
    figure(f"{name}: live records", got["live"], "VMs")
    figure(f"{name}: CPU", f"{got['cpu']:.3f}", "% core", "1.9")
    figure(f"{name}: payload", f"{got['payload'] / 1000:.3f}", "KB/s", "28")
    figure(f"{name}: with headers", f"{got['wire'] / 1000:.3f}", "KB/s", "28")
    figure(f"{name}: resident memory", f"{got['mb']:.1f}", "MB", "256")


def records_bytes(records):
    """Return the bytes of the messages that carry ``records``."""
    steps = range(0, len(records), MAX_RECORDS_PER_MESSAGE)
    batches = [records[i : i + MAX_RECORDS_PER_MESSAGE] for i in steps]
    return sum(len(encode_message(Records(tuple(batch)))) for batch in batches)


def report_records():
    """Print the bytes on one link to make 390 records equal."""
    records = fleet_records(390, {f"vm-{i}": f"10.0.0.1:{i}" for i in range(390)})
    rng = random.Random(1)
    full = 2 * records_bytes(records)
    for changed in (1, 8, 43, 195):
        figure(
            f"records, {changed} changed of 390: delta",
            records_bytes(rng.sample(records, changed)),
            "B/link",
        )
        figure(f"records, {changed} changed of 390: full", full, "B/link")
        for ranges in (16, 64):
            touched = {
                hash(record.vm) % ranges for record in rng.sample(records, changed)
            }
            sent = [r for r in records if hash(r.vm) % ranges in touched]
            size = 2 * records_bytes(sent) + 2 * 9 * ranges
            figure(
                f"records, {changed} changed of 390: {ranges} ranges", size, "B/link"
            )


def make_bundle(version, changed=0):
    """Return a signed bundle of 27,000 accounts and its parts."""
    named = {}
    for i in range(ACCOUNTS):
        name = f"account-{i:05}"
        share = 2 if i < changed else 1
        named[name] = ClientAccount(name, (f"{i:064x}",), share)
    normal = {"normal": Priority("normal", 1)}
    bundle = Bundle(version, named, priorities_by_name=normal)
    root, parts = split_bundle(bundle, 0)
    return sign_root(SignedRoot(encode_root(root)), PRIVATE_KEY), parts


def public_key():
    """Return the public key of ``PRIVATE_KEY``."""
    signed = sign_root(SignedRoot(b""), PRIVATE_KEY)
    return next(iter(signed.signatures_by_key))


async def run_daemon(index, is_source):
    """Run one daemon that takes bundles; print when each version is in force."""
    daemon = Daemon(fleet_records(index + 1)[index], trusted=[public_key()])
    await daemon.start()
    prepared = [make_bundle(1), make_bundle(2, changed=1)] if is_source else []
    print(json.dumps(daemon.address), flush=True)
    loop = asyncio.get_running_loop()
    seeds = json.loads(await loop.run_in_executor(None, sys.stdin.readline))
    daemon.mesh.set_seeds(seeds)
    stalls = [0.0]
    watcher = asyncio.create_task(watch_stalls(stalls))
    for version in (1, 2):
        await loop.run_in_executor(None, sys.stdin.readline)
        stalls[0] = 0.0
        received = sum(x.received_bytes for x in daemon.mesh.links_by_vm.values())
        if is_source:
            outcome = daemon.keeper.offer(*prepared[version - 1])
            assert outcome.is_ok(), outcome
            print(json.dumps([time.monotonic(), 0, 0, 0]), flush=True)
            daemon.replicator.announce()
            continue
        while daemon.keeper.version < version:
            await asyncio.sleep(0.005)
        at = time.monotonic()
        links = daemon.mesh.links_by_vm.values()
        received = sum(link.received_bytes for link in links) - received
        await asyncio.sleep(0.1)
        row = [at, received, 1000 * stalls[0], len(daemon.members.present())]
        print(json.dumps(row), flush=True)
    await loop.run_in_executor(None, sys.stdin.readline)
    watcher.cancel()


async def watch_stalls(stalls):
    """Keep the longest time for which the event loop did not run, in seconds."""
    last = time.monotonic()
    while True:
        await asyncio.sleep(0.002)
        now = time.monotonic()
        stalls[0] = max(stalls[0], now - last - 0.002)
        last = now


def measure_bundle(daemons):
    """Return rows of all receivers for a new bundle and for one changed account."""
    processes = [spawn("daemon", i, int(i == 0)) for i in range(daemons)]
    try:
        addresses = [json.loads(p.stdout.readline()) for p in processes]
        for index, process in enumerate(processes):
            tell(process, [addresses[0]] if index else [])
        time.sleep(5)
        results = []
        for _ in range(2):
            for process in reversed(processes):
                tell(process, "go")
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
    """Print time and bytes for a bundle to reach every daemon through peers."""
    for daemons in (4, 16):
        kinds = ("27,000 new accounts", "1 changed account")
        for kind, rows in zip(kinds, measure_bundle(daemons), strict=True):
            name = f"bundle, {daemons} daemons, {kind}"
            figure(f"{name}: last", f"{max(r[0] for r in rows):.3f}", "s", "17")
            figure(f"{name}: received", max(r[1] for r in rows), "B/daemon")
            figure(f"{name}: longest stall", f"{max(r[2] for r in rows):.0f}", "ms")


GROUPS = {"mesh": report_mesh, "records": report_records, "bundle": report_bundle}


def main(arguments):
    """Run all groups, one group, or one of the processes that a group starts."""
    if arguments[:1] == ["impersonate"]:
        asyncio.run(
            impersonate(int(arguments[1]), int(arguments[2]), arguments[3] == "1")
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

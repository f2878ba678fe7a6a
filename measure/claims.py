"""Cost of claims of callers' own idempotency keys against the store's write rate.

``python -m measure.claims`` prints, for each order rate, the store writes for each
order and the latency that the claim adds, with the defaults, for one VM and for four
that claim through the home of a shard. ``grid`` and ``homes`` go through all batching
windows and numbers of shards, without and with homes; ``steady`` fills the shards with
the claims of a whole retention time first.

Each VM is a process; arrivals are Poisson with fixed seeds.
"""

import asyncio
import itertools
import json
import random
import sys
import time
from dataclasses import asdict, dataclass

import cbor2
from result import Err, Ok

from heathershunt.clock import Millis, SystemClock
from heathershunt.http import Address, HttpClient, HttpServer, Request, Response
from heathershunt.services import (
    Claim,
    ClaimBatcher,
    ClaimFailure,
    ClaimRouter,
    KeyIssuer,
)
from heathershunt.services.batches import BATCH_WINDOW_MS
from heathershunt.services.claims import (
    CLAIM_RETENTION_MS,
    CLAIM_SHARDS,
    encode_shard,
    key_hash,
    shard_key,
    shard_of,
)
from heathershunt.store import KeyValueStore
from standins.launch import Deployment

RATES = (10, 100, 400, 1300)
VMS = (1, 4)
WINDOWS_MS = (0, 5, 10, 20)
SHARDS = (1, 8, 64)
SECONDS = 4.0
STORE_WRITES_PER_SECOND = 400
DEADLINE_MS = 1_000
ISSUED_KEYS = 5_000
BURST_CALLS = 100


@dataclass(frozen=True)
class Mix:
    """One run of the measurement."""

    rate: int
    vms: int
    window_ms: int
    shards: int
    steady: bool = False
    homes: bool = False

    @property
    def name(self) -> str:
        """Return the prefix of the figures of this run."""
        steady = ".steady" if self.steady else ""
        homes = ".homes" if self.homes else ""
        return (
            f"claims{steady}{homes}.rate{self.rate}.vms{self.vms}"
            f".window{self.window_ms}.shards{self.shards}"
        )


def report(name: str, value: float, unit: str, bound: str = "-") -> None:
    """Print one figure."""
    print(f"{name}\t{value:.4g}\t{unit}\t{bound}", flush=True)


def percentile(values: list[float], share: float) -> float:
    """Return a percentile of unsorted values, 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0


class HttpRelay:
    """Takes the place of the peers' links between the VMs of the measurement."""

    def __init__(self, claims: ClaimRouter, clock: SystemClock) -> None:
        self._claims = claims
        self._clock = clock
        self._http = HttpClient()
        self.server = HttpServer(self.handle)
        self.ports_by_vm: dict[str, int] = {}

    async def claim(self, vm: str, claim: Claim, timeout_ms: int):
        """Send a claim to another VM."""
        body = cbor2.dumps(claim)
        address = Address("127.0.0.1", self.ports_by_vm[vm])
        outcome = await self._http.request(
            address, "POST", "/", body=body, timeout_ms=timeout_ms
        )
        if isinstance(outcome, Err):
            return Err(outcome.err_value.progress)
        held = cbor2.loads(await outcome.ok_value.read())
        return Ok(Claim(*held)) if held else Err(ClaimFailure.TIMEOUT)

    def close(self) -> None:
        """Close the links to other VMs."""
        self._http.close()

    async def handle(self, request: Request) -> Response:
        """Claim for another VM."""
        deadline = Millis(self._clock.now() + DEADLINE_MS)
        claim = Claim(*cbor2.loads(request.body))
        outcome = await self._claims.claim_here(claim, deadline)
        held = outcome.ok_value if outcome.is_ok() else []
        return Response(200, {}, cbor2.dumps(held))


async def run_vm(address: str, index: int, mix: Mix) -> None:
    """Claim keys at this VM's share of the rate and print the latencies."""
    clock = SystemClock()
    store = KeyValueStore(HttpClient(), (Address.from_text(address),))
    batcher = ClaimBatcher(
        store, clock, window_ms=mix.window_ms, shards=mix.shards, limit_ms=DEADLINE_MS
    )
    claims = ClaimRouter(batcher, clock, f"vm{index}")
    source = random.Random(1000 * index + 17)
    latencies: list[float] = []
    failures = 0

    async def order(number: int, due: float) -> None:
        nonlocal failures
        key = key_hash("account", f"{index}-{number}")
        nonce = source.randbytes(8)
        claim = Claim(key, key, f"vm{index}", 1_700_000_000_000, nonce, clock.wall())
        result = await claims.claim(claim, Millis(clock.now() + DEADLINE_MS))
        if isinstance(result, Ok) and result.ok_value == claim:
            latencies.append((time.perf_counter() - due) * 1000)
        else:
            failures += 1

    relay = HttpRelay(claims, clock)
    await relay.server.start("127.0.0.1", 0)
    print(relay.server.port, flush=True)
    ports = json.loads(await asyncio.to_thread(sys.stdin.readline))
    if mix.homes:
        relay.ports_by_vm = {f"vm{n}": port for n, port in enumerate(ports)}
        claims.relay, claims.vms = relay, lambda: list(relay.ports_by_vm)
    start = time.perf_counter()
    tasks, due, number = [], start, 0
    end = due + SECONDS
    while (due := due + source.expovariate(mix.rate / mix.vms)) < end:
        if time.perf_counter() > end + SECONDS:
            break
        await asyncio.sleep(max(0, due - time.perf_counter()))
        tasks.append(asyncio.create_task(order(number, due)))
        number += 1
    await asyncio.gather(*tasks)
    # Latency counts from the time an order was due, and an overloaded VM takes longer
    # than planned, so that it does not hide behind a lower rate.
    reply = {"latencies": latencies, "failures": failures}
    reply["seconds"] = time.perf_counter() - start
    print(json.dumps(reply), flush=True)
    # The other VMs may still send claims here.
    await asyncio.to_thread(sys.stdin.readline)
    relay.close()


async def prefill(platform: Address, mix: Mix) -> None:
    """Fill the shards with the claims of a whole retention time."""
    claims_by_shard: dict[int, dict] = {shard: {} for shard in range(mix.shards)}
    wall = SystemClock().wall()
    for number in range(mix.rate * CLAIM_RETENTION_MS // 1000):
        key = key_hash("account", f"old-{number}")
        claim = Claim(key, key, "vm0", 1_700_000_000_000, key[:8], wall)
        claims_by_shard[shard_of(key, mix.shards)][key] = claim
    store = KeyValueStore(HttpClient(), (platform,))
    for shard, claims_by_key in claims_by_shard.items():
        value = encode_shard(claims_by_key)
        (await store.swap(shard_key(shard, mix.shards), value, 0)).unwrap()
    report(f"{mix.name}.value_bytes", len(value), "bytes", "<=1e6")


async def use_up_burst(deployment: Deployment) -> None:
    """Take the store's saved-up writes, so that only its rate counts."""
    statuses = [0]
    while 429 not in statuses:
        # One call after the other would be slower than the rate on a busy machine.
        calls = [
            deployment.http.request_json(
                deployment.platform, "POST", "/v1/leases/none/keepalive", {}
            )
            for _ in range(BURST_CALLS)
        ]
        statuses = [reply.unwrap()[0] for reply in await asyncio.gather(*calls)]


async def measure_mix(mix: Mix) -> None:
    """Run one mix against a platform of its own and print its figures."""
    deployment = Deployment()
    try:
        await deployment.start_platform()
        if mix.steady:
            await prefill(deployment.platform, mix)
        vms = [
            await start_vm(deployment.platform, index, mix) for index in range(mix.vms)
        ]
        ports = [int(await vm.stdout.readline()) for vm in vms]
        await use_up_burst(deployment)
        before = await deployment.call(deployment.platform, "GET", "/v1/counts")
        for vm in vms:
            vm.stdin.write(json.dumps(ports).encode() + b"\n")
        replies = [json.loads(await vm.stdout.readline()) for vm in vms]
        after = await deployment.call(deployment.platform, "GET", "/v1/counts")
        for vm in vms:
            vm.stdin.write(b"\n")
        for vm in vms:
            await vm.wait()
        print_mix(mix, replies, after["writes"] - before["writes"])
    finally:
        await deployment.stop()


async def start_vm(platform: Address, index: int, mix: Mix):
    """Start the process of one VM."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "measure.claims",
        "vm",
        str(platform),
        str(index),
        json.dumps(asdict(mix)),
        stderr=asyncio.subprocess.DEVNULL,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        limit=8_388_608,
    )


def print_mix(mix: Mix, replies: list[dict], writes: int) -> None:
    """Print the figures of one run."""
    latencies = [value for reply in replies for value in reply["latencies"]]
    failures = sum(reply["failures"] for reply in replies)
    orders = len(latencies) + failures
    limit = f"<={STORE_WRITES_PER_SECOND}"
    seconds = max(reply["seconds"] for reply in replies)
    report(f"{mix.name}.seconds", seconds, "s", f"<={SECONDS + 1}")
    report(f"{mix.name}.writes", writes / seconds, "writes/s", limit)
    report(f"{mix.name}.writes_per_order", writes / orders, "writes", "<=1")
    report(f"{mix.name}.latency_p50", percentile(latencies, 0.5), "ms")
    report(f"{mix.name}.latency_p99", percentile(latencies, 0.99), "ms")
    report(f"{mix.name}.refused", failures / orders, "share", "0")


def measure_issued() -> None:
    """Print the cost of issued keys, which need no store."""
    clock = SystemClock()
    issuer = KeyIssuer("vm1", clock.wall(), clock)
    start = time.perf_counter()
    for _ in range(ISSUED_KEYS):
        issuer.issue("account")
    spent = (time.perf_counter() - start) / ISSUED_KEYS
    report("issued.issue", spent * 1e6, "us")
    report("issued.writes_per_order", 0, "writes", "0")


async def measure_all(mixes: list[Mix]) -> None:
    """Run every mix, one after the other."""
    measure_issued()
    for mix in mixes:
        await measure_mix(mix)


def select_mixes(name: str) -> list[Mix]:
    """Return the mixes of one selection of the command line."""
    product = itertools.product
    if name == "grid":
        return [Mix(*values) for values in product(RATES, VMS, WINDOWS_MS, SHARDS)]
    if name == "homes":
        values = product(RATES, VMS[1:], WINDOWS_MS, SHARDS)
        return [Mix(*one, homes=True) for one in values]
    is_steady = name == "steady"
    return [
        Mix(rate, vms, BATCH_WINDOW_MS, CLAIM_SHARDS, is_steady, homes=vms > 1)
        for rate, vms in product(RATES, VMS)
    ]


def main() -> None:
    """Run the measurement, or one VM of it."""
    arguments = sys.argv[1:]
    if arguments[:1] == ["vm"]:
        mix = Mix(**json.loads(arguments[3]))
        asyncio.run(run_vm(arguments[1], int(arguments[2]), mix))
        return
    name = arguments[0] if arguments else "short"
    asyncio.run(measure_all(select_mixes(name)))


if __name__ == "__main__":
    main()

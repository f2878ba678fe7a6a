"""Cost of claims of client-chosen idempotency keys, under the store's write limit.

``python -m measure.claims`` prints, for each order rate, the store writes per order and
the latency that the claim adds, with the default batching window and number of shards,
for one VM and for four that claim through the home VM of a shard. ``grid`` and
``homes`` run all batching windows and numbers of shards, without and with home VMs;
``steady`` fills the shards with the claims of a whole retention time first.

Each VM is a separate process; arrivals are Poisson with fixed seeds.
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
RUN_SECONDS = 4.0
# Write limit of the store.
STORE_WRITES_PER_SECOND = 400
DEADLINE_MS = 1_000
ISSUED_KEYS = 5_000
BURST_CALLS = 100


@dataclass(frozen=True)
class Case:
    """Parameters of one run.

    :param rate: orders per second over all VMs.
    :param window_ms: batching window.
    :param shards: number of shards of the claims.
    :param steady: fill the shards with the claims of a whole retention time first.
    :param homes: claim through the home VM of a shard.
    """

    rate: int
    vms: int
    window_ms: int
    shards: int
    steady: bool = False
    homes: bool = False

    @property
    def name(self) -> str:
        """Return the prefix of the names of the figures."""
        steady = ".steady" if self.steady else ""
        homes = ".homes" if self.homes else ""
        return (
            f"claims{steady}{homes}.rate{self.rate}.vms{self.vms}"
            f".window{self.window_ms}.shards{self.shards}"
        )


def print_figure(name: str, value: float, unit: str, bound: str = "-") -> None:
    """Print one figure."""
    print(f"{name}\t{value:.4g}\t{unit}\t{bound}", flush=True)


def percentile(values: list[float], fraction: float) -> float:
    """Return the quantile ``fraction``, 0 to 1, of unsorted values; 0 if none."""
    ordered = sorted(values)
    return (
        ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0
    )


class HttpRelay:
    """Sends claims between the VMs over HTTP, in place of the product's peer links.

    :ivar ports_by_vm: port of the relay of every VM; set before the first claim.
    """

    def __init__(self, router: ClaimRouter, clock: SystemClock) -> None:
        self._router = router
        self._clock = clock
        self._http = HttpClient()
        self.server = HttpServer(self.handle)
        self.ports_by_vm: dict[str, int] = {}

    async def claim(self, vm: str, claim: Claim, timeout_ms: int):
        """Send a claim to its home VM.

        :return: the claim that holds the key, a :class:`ClaimFailure` if the home VM
            could not settle the key, or the progress of a failed HTTP request.
        """
        body = cbor2.dumps(claim)
        address = Address("127.0.0.1", self.ports_by_vm[vm])
        outcome = await self._http.request(
            address, "POST", "/", body=body, timeout_ms=timeout_ms
        )
        if isinstance(outcome, Err):
            return Err(outcome.err_value.progress)
        fields = cbor2.loads(await outcome.ok_value.read())
        return Ok(Claim(*fields)) if fields else Err(ClaimFailure.TIMEOUT)

    def close(self) -> None:
        """Close the connections to other VMs."""
        self._http.close()

    async def handle(self, request: Request) -> Response:
        """Claim a key for another VM; an empty list answers a failed claim."""
        deadline = Millis(self._clock.now() + DEADLINE_MS)
        claim = Claim(*cbor2.loads(request.body))
        outcome = await self._router.claim_here(claim, deadline)
        stored = outcome.ok_value if outcome.is_ok() else []
        return Response(200, {}, cbor2.dumps(stored))


async def run_vm(store_address: str, index: int, case: Case) -> None:
    """Claim keys at the VM's share of the rate and print latencies and failures.

    Reads the ports of all VMs from standard input before it starts.
    """
    clock = SystemClock()
    store = KeyValueStore(HttpClient(), (Address.from_text(store_address),))
    batcher = ClaimBatcher(
        store, clock, window_ms=case.window_ms, shards=case.shards, limit_ms=DEADLINE_MS
    )
    router = ClaimRouter(batcher, clock, f"vm{index}")
    rng = random.Random(1000 * index + 17)
    latencies: list[float] = []
    failures = 0

    async def claim_key(number: int, due: float) -> None:
        nonlocal failures
        key = key_hash("account", f"{index}-{number}")
        nonce = rng.randbytes(8)
        claim = Claim(key, key, f"vm{index}", 1_700_000_000_000, nonce, clock.wall())
        result = await router.claim(claim, Millis(clock.now() + DEADLINE_MS))
        if isinstance(result, Ok) and result.ok_value == claim:
            latencies.append((time.perf_counter() - due) * 1000)
        else:
            failures += 1

    relay = HttpRelay(router, clock)
    await relay.server.start("127.0.0.1", 0)
    print(relay.server.port, flush=True)
    ports = json.loads(await asyncio.to_thread(sys.stdin.readline))
    if case.homes:
        relay.ports_by_vm = {f"vm{n}": port for n, port in enumerate(ports)}
        router.relay, router.vms = relay, lambda: list(relay.ports_by_vm)
    start = time.perf_counter()
    tasks, due, number = [], start, 0
    end = due + RUN_SECONDS
    while (due := due + rng.expovariate(case.rate / case.vms)) < end:
        if time.perf_counter() > end + RUN_SECONDS:
            break
        await asyncio.sleep(max(0, due - time.perf_counter()))
        tasks.append(asyncio.create_task(claim_key(number, due)))
        number += 1
    await asyncio.gather(*tasks)
    # Latency is measured from the time at which an order was due, and the real duration
    # is reported, so an overloaded VM does not seem to cope by sending fewer orders.
    reply = {"latencies": latencies, "failures": failures}
    reply["seconds"] = time.perf_counter() - start
    print(json.dumps(reply), flush=True)
    # Other VMs may still send claims to this one.
    await asyncio.to_thread(sys.stdin.readline)
    relay.close()


async def fill_shards(platform: Address, case: Case) -> None:
    """Write the claims of a whole retention time to the shards and print their size."""
    claims_by_shard: dict[int, dict] = {shard: {} for shard in range(case.shards)}
    wall = SystemClock().wall()
    for number in range(case.rate * CLAIM_RETENTION_MS // 1000):
        key = key_hash("account", f"old-{number}")
        claim = Claim(key, key, "vm0", 1_700_000_000_000, key[:8], wall)
        claims_by_shard[shard_of(key, case.shards)][key] = claim
    store = KeyValueStore(HttpClient(), (platform,))
    for shard, claims_by_key in claims_by_shard.items():
        value = encode_shard(claims_by_key)
        (await store.swap(shard_key(shard, case.shards), value, 0)).unwrap()
    print_figure(f"{case.name}.value_bytes", len(value), "bytes", "<=1e6")


async def exhaust_write_burst(deployment: Deployment) -> None:
    """Use up the write burst that the store allows, so that only its rate applies."""
    statuses = [0]
    while 429 not in statuses:
        # Sequential calls could be slower than the rate limit on a busy machine.
        calls = [
            deployment.http.request_json(
                deployment.platform, "POST", "/v1/leases/none/keepalive", {}
            )
            for _ in range(BURST_CALLS)
        ]
        statuses = [reply.unwrap()[0] for reply in await asyncio.gather(*calls)]


async def measure_case(case: Case) -> None:
    """Run one case against a new platform stand-in and print its figures."""
    deployment = Deployment()
    try:
        await deployment.start_platform()
        if case.steady:
            await fill_shards(deployment.platform, case)
        vms = [
            await start_vm(deployment.platform, index, case)
            for index in range(case.vms)
        ]
        ports = [int(await vm.stdout.readline()) for vm in vms]
        await exhaust_write_burst(deployment)
        before = await deployment.call(deployment.platform, "GET", "/v1/counts")
        for vm in vms:
            vm.stdin.write(json.dumps(ports).encode() + b"\n")
        replies = [json.loads(await vm.stdout.readline()) for vm in vms]
        after = await deployment.call(deployment.platform, "GET", "/v1/counts")
        for vm in vms:
            vm.stdin.write(b"\n")
        for vm in vms:
            await vm.wait()
        print_case(case, replies, after["writes"] - before["writes"])
    finally:
        await deployment.stop()


async def start_vm(platform: Address, index: int, case: Case):
    """Start the process of one VM with pipes for JSON lines."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "measure.claims",
        "vm",
        str(platform),
        str(index),
        json.dumps(asdict(case)),
        stderr=asyncio.subprocess.DEVNULL,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        limit=8_388_608,
    )


def print_case(case: Case, replies: list[dict], writes: int) -> None:
    """Print the figures of one case.

    :param writes: writes that the store counted.
    """
    latencies = [value for reply in replies for value in reply["latencies"]]
    failures = sum(reply["failures"] for reply in replies)
    orders = len(latencies) + failures
    limit = f"<={STORE_WRITES_PER_SECOND}"
    seconds = max(reply["seconds"] for reply in replies)
    print_figure(f"{case.name}.seconds", seconds, "s", f"<={RUN_SECONDS + 1}")
    print_figure(f"{case.name}.writes", writes / seconds, "writes/s", limit)
    print_figure(f"{case.name}.writes_per_order", writes / orders, "writes", "<=1")
    print_figure(f"{case.name}.latency_p50", percentile(latencies, 0.5), "ms")
    print_figure(f"{case.name}.latency_p99", percentile(latencies, 0.99), "ms")
    print_figure(f"{case.name}.refused", failures / orders, "share", "0")


def measure_issued_keys() -> None:
    """Print the cost of keys that the router issues, which need no store."""
    clock = SystemClock()
    issuer = KeyIssuer("vm1", clock.wall(), clock)
    start = time.perf_counter()
    for _ in range(ISSUED_KEYS):
        issuer.issue("account")
    seconds_per_key = (time.perf_counter() - start) / ISSUED_KEYS
    print_figure("issued.issue", seconds_per_key * 1e6, "us")
    print_figure("issued.writes_per_order", 0, "writes", "0")


async def measure_all(cases: list[Case]) -> None:
    """Measure issued keys, then run every case, one after the other."""
    measure_issued_keys()
    for case in cases:
        await measure_case(case)


def select_cases(name: str) -> list[Case]:
    """Return the cases of a mode of the command line."""
    product = itertools.product
    if name == "grid":
        return [Case(*values) for values in product(RATES, VMS, WINDOWS_MS, SHARDS)]
    if name == "homes":
        values = product(RATES, VMS[1:], WINDOWS_MS, SHARDS)
        return [Case(*row, homes=True) for row in values]
    is_steady = name == "steady"
    return [
        Case(rate, vms, BATCH_WINDOW_MS, CLAIM_SHARDS, is_steady, homes=vms > 1)
        for rate, vms in product(RATES, VMS)
    ]


def main() -> None:
    """Run the measurement in a mode, or one of its VM processes."""
    arguments = sys.argv[1:]
    if arguments[:1] == ["vm"]:
        case = Case(**json.loads(arguments[3]))
        asyncio.run(run_vm(arguments[1], int(arguments[2]), case))
        return
    name = arguments[0] if arguments else "short"
    asyncio.run(measure_all(select_cases(name)))


if __name__ == "__main__":
    main()

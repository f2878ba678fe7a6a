"""Size and processing time of bundles at design scale, by accounts per part.

Run with ``python -m measure.bundle``. For 27,000 accounts it prints the sizes of root,
parts and file, the bytes to send after a change to one account (the root and one part),
and the median and range of each processing time over all rounds.
"""

import statistics
import time
from collections.abc import Callable
from dataclasses import replace
from typing import TypeVar

from heathershunt.bundle import (
    Bundle,
    BundleKeeper,
    ClientAccount,
    Model,
    Priority,
    SignedRoot,
    assemble,
    decode_file,
    encode_file,
    encode_root,
    new_key_pair,
    sign_root,
    split_bundle,
)
from heathershunt.bundle.parts import encode_signed_root, sha256_hex

ACCOUNTS = 27_000
MODELS = 38
PART_SIZES = (64, 256, 1024)
ROUNDS = 5
CHANGES_PER_DAY = 1300

T = TypeVar("T")


def make_bundle() -> Bundle:
    """Return a bundle with the accounts and models of the design scale."""
    accounts = {
        name: ClientAccount(name, (sha256_hex(name.encode()),), 1 + number % 9)
        for number in range(ACCOUNTS)
        for name in (f"account-{number:05}",)
    }
    models = {f"m{n}": Model(f"m{n}", 64, "v1") for n in range(MODELS)}
    priorities = {"normal": Priority("normal", 1)}
    return Bundle(1, accounts, {}, models, priorities)


def timed(work: Callable[[], T]) -> tuple[str, T]:
    """Run ``work`` ``ROUNDS`` times.

    :return: text with the median and range of the times in milliseconds, and the result
        of the last round.
    """
    times = []
    for _ in range(ROUNDS):
        start = time.perf_counter()
        result = work()
        times.append((time.perf_counter() - start) * 1000)
    median = statistics.median(times)
    return f"{median:.1f} ms ({min(times):.1f} to {max(times):.1f})", result


def _measure(bundle: Bundle, part_size: int) -> None:
    private, public = new_key_pair()
    elapsed, (root, parts) = timed(lambda: split_bundle(bundle, 1, "", part_size))
    print(f"accounts per part {part_size}: {len(root.parts)} parts")
    print(f"  split: {elapsed}")
    signed = sign_root(SignedRoot(encode_root(root)), private)
    root_size = len(encode_signed_root(signed))
    largest = max(map(len, parts.values()))
    print(f"  signed root {root_size} bytes, largest part {largest} bytes")
    print(f"  decode and check the root: {timed(signed.root)[0]}")
    print(f"  assemble and check: {timed(lambda: assemble(root, parts))[0]}")
    elapsed, data = timed(lambda: encode_file(signed, parts))
    print(f"  file {len(data)} bytes, written: {elapsed}")
    print(f"  file read and checked: {timed(lambda: decode_file(data))[0]}")

    changed = replace(bundle.accounts_by_name["account-00007"], share=99)
    accounts = {**bundle.accounts_by_name, changed.name: changed}
    new_bundle = replace(bundle, version=2, accounts_by_name=accounts)
    new_root, new_parts = split_bundle(new_bundle, 2, signed.sha256, part_size)
    new_signed = sign_root(SignedRoot(encode_root(new_root)), private)
    sent_parts = {d: p for d, p in new_parts.items() if d not in parts}
    sent = len(encode_signed_root(new_signed)) + sum(map(len, sent_parts.values()))
    bytes_per_second = sent * CHANGES_PER_DAY / 86_400
    print(
        f"  change to one account: {len(sent_parts)} part, {sent} bytes with the root,"
    )
    print(
        f"    {bytes_per_second:.0f} bytes a second at {CHANGES_PER_DAY} changes a day"
    )

    def apply_update() -> None:
        keeper = BundleKeeper([public])
        keeper.offer(signed, parts).unwrap()
        start = time.perf_counter()
        keeper.offer(new_signed, sent_parts).unwrap()
        times.append((time.perf_counter() - start) * 1000)

    times: list[float] = []
    for _ in range(ROUNDS):
        apply_update()
    print(f"    put into force: {statistics.median(times):.1f} ms")


def main() -> None:
    """Print the figures for each number of accounts per part."""
    bundle = make_bundle()
    for part_size in PART_SIZES:
        _measure(bundle, part_size)


if __name__ == "__main__":
    main()

"""Schedule of the requests of a load generator, drawn from a fixed seed."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

LARGE = "large"
PREFIX_WORDS = 32
VOCABULARY = 5000
# Factors of the mean rate in equal parts of a market day; their mean is 1.
MARKET_DAY = (0.3, 0.6, 1.9, 1.1, 0.5, 2.1, 1.1, 0.4)
STEADY = (1.0,)


class LoadPlan(msgspec.Struct, frozen=True):
    """Description of an open-loop load.

    :param targets: ``host:port`` of the daemons, used in turn by each account.
    :param rate: mean requests a second over all processes.
    :param seconds: duration of the load.
    :param waves: factors of ``rate`` in equal parts of ``seconds``.
    :param small_accounts: number of accounts beside the large one.
    :param large_share: share of the requests that the large account sends.
    :param order_share: share of the requests that are orders; the others are drafts.
    :param urgent_share: share of the requests with the priority ``urgent``.
    :param prefixes: number of prompt prefixes that the requests share.
    :param tail_words: least and most words after the shared prefix of a prompt.
    :param tokens: least and most tokens of an answer.
    :param deadline_ms: time in ms in which a request must be answered.
    :param start: monotonic time of the first request.
    :param window: seconds after ``start`` between which answers are counted.
    """

    targets: list[str]
    rate: float
    seconds: float
    seed: int
    start: float = 0.0
    window: tuple[float, float] = (0.0, 1e9)
    waves: tuple[float, ...] = STEADY
    small_accounts: int = 9
    large_share: float = 0.5
    order_share: float = 0.0
    urgent_share: float = 0.1
    prefixes: int = 8
    tail_words: tuple[int, int] = (4, 40)
    tokens: tuple[int, int] = (8, 24)
    deadline_ms: int = 4000
    model: str = "m"
    version: str = "v1"
    layers: int = 12


@dataclass(frozen=True)
class Arrival:
    """One request of the schedule; ``at`` is in seconds from the start."""

    index: int
    at: float
    account: str
    target: str
    is_order: bool
    priority: str
    prompt: str
    tail_words: int
    tokens: int


def account_names(plan: LoadPlan) -> list[str]:
    """Return the names of the accounts, the large one first."""
    return [LARGE] + [f"small{index}" for index in range(plan.small_accounts)]


def token_of(account: str) -> str:
    """Return the bearer token of an account."""
    return f"{account}-token"


def arrivals(plan: LoadPlan) -> Iterator[Arrival]:
    """Yield the requests by time, as Poisson arrivals at the rate of each wave."""
    rng = random.Random(plan.seed)
    names = account_names(plan)
    part = plan.seconds / len(plan.waves)
    prefixes = [_words(rng, PREFIX_WORDS) for _ in range(plan.prefixes)]
    at, index = 0.0, 0
    highest = plan.rate * max(plan.waves)
    while True:
        at += rng.expovariate(highest)
        if at >= plan.seconds:
            return
        # Thinning keeps the arrivals Poisson across changes of the rate.
        if rng.random() * highest > plan.rate * plan.waves[int(at / part)]:
            continue
        is_large = rng.random() < plan.large_share
        account = names[0] if is_large else names[rng.randint(1, plan.small_accounts)]
        tail = rng.randint(*plan.tail_words)
        yield Arrival(
            index,
            at,
            account,
            plan.targets[rng.randrange(len(plan.targets))],
            rng.random() < plan.order_share,
            "urgent" if rng.random() < plan.urgent_share else "normal",
            f"{rng.choice(prefixes)} {_words(rng, tail)}",
            tail,
            rng.randint(*plan.tokens),
        )
        index += 1


def _words(rng: random.Random, count: int) -> str:
    return " ".join(f"w{rng.randrange(VOCABULARY)}" for _ in range(count))

"""Specification, runs and work items of an engine stand-in."""

import asyncio
from dataclasses import dataclass, field, replace
from typing import Any


@dataclass(frozen=True)
class EngineSpec:
    """Configuration of one engine stand-in.

    :param port: port of the HTTP listener, 0 for a free one.
    :param advertised_fabric: fabric address in the status, empty for the bound one.
    :param vm: VM of the engine, empty for one named like the runner.
    :param checks_fence: orders with an older fencing token are rejected.
    :param batch_limit: most work items in one step.
    :param step_ms: fixed time of a step.
    :param token_ms: additional time for each item of a step.
    :param prefill_token_ms: additional time for each recomputed position.
    :param report_lag_ms: age of the published load report and cache events.
    :param keep_ledger: record each position that the engine computes.
    :param weights: address of the weight store; empty to load without delay.
    :param deadly_word: the process ends when it is to emit a token on a prompt with it.
    :param rate_limit: runs a second that the engine names in its answers as what it
        takes; ``None`` for no limit.
    :param says_leaving: whether the engine says in its answers to runs that it leaves.
    :param pause_s: the engine turns runs away and asks for a pause of so many seconds;
        ``None`` for no pause.
    """

    runner: str
    model: str
    version: str
    first_layer: int
    end_layer: int
    layers: int
    port: int = 0
    fabric_port: int = 0
    advertised_fabric: str = ""
    vm: str = ""
    domain: str = "a"
    kind: str = "k1"
    adapters: tuple[str, ...] = ()
    role: str = "drafting"
    checks_fence: bool = True
    batch_limit: int = 16
    step_ms: float = 2.0
    token_ms: float = 0.2
    prefill_token_ms: float = 0.05
    report_lag_ms: int = 200
    kv_token_limit: int = 200_000
    prefix_limit: int = 256
    keep_ledger: bool = True
    weights: str = ""
    deadly_word: str = ""
    rate_limit: float | None = None
    says_leaving: bool = False
    pause_s: float | None = None

    @property
    def loaded(self) -> tuple:
        """Return the properties that only a load of weights can change."""
        layers = (self.first_layer, self.end_layer)
        return self.model, self.version, self.adapters, layers

    def with_order(self, body: dict[str, Any]) -> "EngineSpec":
        """Return the specification with the fields that an order sets."""
        return replace(
            self,
            model=body["model"],
            version=body["version"],
            adapters=tuple(body["adapters"]),
            first_layer=int(body["first_layer"]),
            end_layer=int(body["end_layer"]),
            role=body["role"],
        )

    def status_fields(self) -> dict[str, Any]:
        """Return the part of the status that follows from the specification."""
        return {
            "runner": self.runner,
            "kind": self.kind,
            "checks_fence": self.checks_fence,
            "vm": self.vm or self.runner,
            "domain": self.domain,
            "model": self.model,
            "version": self.version,
            "adapters": list(self.adapters),
            "first_layer": self.first_layer,
            "end_layer": self.end_layer,
            "fabric": self.advertised_fabric,
        }


@dataclass
class Run:
    """One epoch of one draft at one stage.

    :param position: at the first stage the next position, elsewhere the last one run.
    :param finished: last position that this stage has finished.
    """

    run: str
    epoch: int
    stage: int
    chain: list[dict[str, Any]]
    prompt: str
    tokens: list[str]
    position: int
    max_tokens: int
    seed: int
    adapter: str
    priority: int
    kv_positions: int
    import_from: str | None = None
    started: bool = False
    last_progress: float = 0.0
    outbox: asyncio.Queue = field(default_factory=asyncio.Queue)
    finished: int = field(init=False)

    def __post_init__(self) -> None:
        self.finished = self.position - 1

    @classmethod
    def from_body(cls, body: dict[str, Any]) -> "Run":
        """Return the run that the body of an open request describes."""
        return cls(
            body["run"],
            int(body["epoch"]),
            int(body["stage"]),
            body["chain"],
            body["prompt"],
            list(body["tokens"]),
            int(body["position"]),
            int(body["max_tokens"]),
            int(body["seed"]),
            body["adapter"],
            int(body["priority"]),
            0,
            import_from=body.get("import_from"),
        )

    @property
    def is_first(self) -> bool:
        """Return whether this stage embeds the tokens."""
        return self.stage == 0

    @property
    def is_last(self) -> bool:
        """Return whether this stage emits the tokens."""
        return self.stage == len(self.chain) - 1

    @property
    def prompt_positions(self) -> int:
        """Return the number of positions that the prompt takes."""
        return len(self.prompt.split())


@dataclass(frozen=True)
class Work:
    """One position of one run, queued for a step.

    :param recompute_from: per stage, the first position that its cache lacks.
    """

    run: str
    epoch: int
    position: int
    value: int
    trace: tuple
    recompute_from: tuple[int, ...]
    priority: int = 1

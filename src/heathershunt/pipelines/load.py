"""Load on each runner from the requests that this VM has running."""

from dataclasses import dataclass

from heathershunt.pipelines.chain import Chain


@dataclass(slots=True)
class RunnerLoad:
    """Requests of this VM at one runner.

    :param requests: requests that pass through it.
    :param received: requests that it receives as the first of their chain.
    :param kv: reserved KV cache, in tokens times layers.
    """

    requests: int = 0
    received: int = 0
    kv: float = 0.0


class LoadLedger:
    """Counts what this VM has running at each runner.

    .. versionadded:: 0.2
    """

    def __init__(self) -> None:
        self._by_runner: dict[str, RunnerLoad] = {}

    def load(self, runner_id: str) -> RunnerLoad:
        """Return the load at a runner."""
        return self._by_runner.get(runner_id) or RunnerLoad()

    def add(self, chain: Chain, tokens: float) -> None:
        """Count a request on every runner of its chain.

        :param tokens: tokens that it will hold at its end.
        """
        for part in chain.parts:
            load = self._by_runner.setdefault(part.runner.id, RunnerLoad())
            load.requests += 1
            load.kv += tokens * part.size
        self._by_runner[chain.head.id].received += 1

    def remove(self, chain: Chain, tokens: float) -> None:
        """Take back what :meth:`add` counted."""
        for part in chain.parts:
            load = self._by_runner[part.runner.id]
            load.requests -= 1
            load.kv -= tokens * part.size
            if part.runner.id == chain.head.id:
                load.received -= 1
            if not load.requests:
                del self._by_runner[part.runner.id]

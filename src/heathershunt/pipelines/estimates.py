"""Estimates of the time and the KV cache that a request takes on a runner."""

from dataclasses import dataclass

from heathershunt.catalog import Engine
from heathershunt.discovery import Target

# Share of a runner's KV cache that is kept free.
MIN_FREE_KV_FRACTION = 0.05


@dataclass(frozen=True, slots=True)
class Job:
    """Size of a request, for estimates of its time and its KV cache.

    :param prompt_tokens: tokens of the prompt.
    :param answer_tokens: expected number of output tokens.

    .. versionadded:: 0.2
    """

    prompt_tokens: float
    answer_tokens: float

    @property
    def tokens(self) -> float:
        """Return the tokens in the KV cache at the end of the request."""
        return self.prompt_tokens + self.answer_tokens


def request_ms(
    engine: Engine, kind_name: str, job: Job, running: float, pace: float
) -> float:
    """Return the estimated time of a request if one runner had all layers.

    :param kind_name: kind of the runner.
    :param running: requests that run on it.
    :param pace: time of its work as a multiple of the usual time.
    """
    kind = engine.kinds_by_name.get(kind_name)
    kind_pace = kind.pace if kind else 1.0
    prefill_factor = kind.prefill_factor if kind else 1.0
    context = engine.context_ms * job.tokens / 1000
    step_ms = engine.step_ms + (running + 1) * (engine.sequence_ms + context)
    prefill_ms = prefill_factor * job.prompt_tokens / engine.prefill_tokens_per_ms
    # Running requests prefill too, each once, spread over its output tokens.
    prefill_share_ms = prefill_ms * running / max(1.0, job.answer_tokens)
    step_and_prefill_ms = kind_pace * step_ms + prefill_share_ms
    return (prefill_ms + job.answer_tokens * step_and_prefill_ms) * pace


def kv_capacity(engine: Engine, runner: Target) -> float:
    """Return the KV cache size of a runner in tokens times layers.

    It is infinite if the kind of the runner or the KV cache of a token is unknown.
    """
    kind = engine.kinds_by_name.get(runner.kind)
    if kind is None or not engine.kv_mb:
        return float("inf")
    held = runner.held.size if runner.held else 0
    return max(0.0, (kind.memory_mb - held * engine.layer_mb) / engine.kv_mb)

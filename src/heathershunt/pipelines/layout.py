"""Which empty or redundant runners shall hold which layers; pure."""

from collections.abc import Iterable
from dataclasses import dataclass

from heathershunt.catalog import Engine
from heathershunt.discovery import LayerRange, Target


@dataclass(frozen=True)
class LayoutConfig:
    """Constants of the layout.

    :param weight_part: part of a runner's memory for layers; the rest holds KV cache.
    :param least_kv_tokens: tokens of KV cache for each layer that must stay free.

    .. versionadded:: 0.2
    """

    weight_part: float = 0.66
    least_kv_tokens: int = 8000


@dataclass(frozen=True, slots=True)
class Placement:
    """Layers that a runner shall hold.

    .. versionadded:: 0.2
    """

    runner: Target
    layers: LayerRange


def layers_for(engine: Engine, runner: Target, config: LayoutConfig) -> int:
    """Return how many layers a runner holds beside its KV cache."""
    kind = engine.kinds_by_name.get(runner.kind)
    if kind is None or engine.layer_mb <= 0:
        return 0
    by_part = int(kind.memory_mb * config.weight_part / engine.layer_mb)
    return min(by_part, most_layers(engine, runner, config))


def most_layers(engine: Engine, runner: Target, config: LayoutConfig) -> int:
    """Return how many layers a runner holds beside the least KV cache."""
    kind = engine.kinds_by_name.get(runner.kind)
    if kind is None or engine.layer_mb <= 0:
        return 0
    kv_mb = config.least_kv_tokens * engine.kv_mb
    return min(int(kind.memory_mb / (engine.layer_mb + kv_mb)), engine.layers)


def plan_layout(
    engine: Engine,
    runners: Iterable[Target],
    config: LayoutConfig,
    ordered: Iterable[Placement] = (),
) -> list[Placement]:
    """Return the orders that complete the layers of each failure domain.

    Runners that hold layers keep them, unless their domain lacks layers and all that
    they hold is held by others too.

    :param runners: runners that will stay.
    :param ordered: orders whose effect is not reported yet.
    """
    pending = {placement.runner.id: placement.layers for placement in ordered}
    by_domain: dict[str, list[Target]] = {}
    holders = [0] * engine.layers
    for runner in runners:
        by_domain.setdefault(runner.domain, []).append(runner)
        _count(holders, _kept(runner, pending), 1)
    plan: list[Placement] = []
    for domain in sorted(by_domain):
        plan += _plan_domain(engine, by_domain[domain], config, pending, holders)
    return plan


def _kept(runner: Target, pending: dict[str, LayerRange]) -> LayerRange | None:
    """Return the layers that a runner holds and does not give up.

    Layers that it is still to load are held by nobody yet.
    """
    held, ordered = runner.held, pending.get(runner.id)
    if held is None or ordered is None:
        return held
    first, end = max(held.first, ordered.first), min(held.end, ordered.end)
    return LayerRange(first, end) if first < end else None


def _plan_domain(
    engine: Engine,
    runners: list[Target],
    config: LayoutConfig,
    pending: dict[str, LayerRange],
    holders: list[int],
) -> list[Placement]:
    """Plan one domain.

    :param holders: runners of all domains that hold each layer now.
    """
    held = {runner.id: pending.get(runner.id, runner.held) for runner in runners}
    copies = [0] * engine.layers
    for layers in held.values():
        _count(copies, layers, 1)
    empty = [runner for runner in runners if held[runner.id] is None]
    # Large runners first: they leave few and wide gaps to the small ones.
    empty.sort(key=lambda runner: (-layers_for(engine, runner, config), runner.id))
    plan = []
    for runner in empty:
        size = layers_for(engine, runner, config)
        if size == 0:
            continue
        layers = _thinnest(copies, size)
        _count(copies, layers, 1)
        plan.append(Placement(runner, layers))
    return plan + _fill_gaps(engine, runners, config, pending, held, copies, holders)


def _fill_gaps(
    engine, runners, config, pending, held, copies, holders
) -> list[Placement]:
    """Move redundant runners to layers that nobody in the domain holds.

    A runner whose move would leave a layer with one holder in all domains comes last:
    that holder may be about to leave.
    """
    plan = []
    movable = [r for r in runners if r.held is not None and r.id not in pending]
    present = [0] * engine.layers
    for runner in runners:
        _count(present, _kept(runner, pending), 1)
    while 0 in copies:
        spare = [r for r in movable if _is_redundant(present, held[r.id])]
        if not spare:
            break
        gap = _first_gap(copies)
        runner = min(
            spare,
            key=lambda r: (
                _singles_after_move(holders, held[r.id]),
                _move_cost(engine, r, config, gap.size),
            ),
        )
        movable.remove(runner)
        size = layers_for(engine, runner, config)
        _count(copies, held[runner.id], -1)
        _count(present, held[runner.id], -1)
        _count(holders, held[runner.id], -1)
        layers = _thinnest(copies, size)
        _count(copies, layers, 1)
        held[runner.id] = layers
        plan.append(Placement(runner, layers))
    return plan + _extend_into_gaps(engine, movable, config, held, copies)


def _extend_into_gaps(engine, runners, config, held, copies) -> list[Placement]:
    """Let the runners beside a gap take its layers into their spare memory."""
    plan: dict[str, Placement] = {}
    while 0 in copies:
        gap = _first_gap(copies)
        choices = []
        for runner in runners:
            layers = held[runner.id]
            room = most_layers(engine, runner, config) - layers.size
            size = min(room, gap.size)
            if size > 0 and layers.end == gap.first:
                choices.append((size, runner, (layers.first, layers.end + size)))
            elif size > 0 and layers.first == gap.end:
                choices.append((size, runner, (layers.first - size, layers.end)))
        if not choices:
            break
        _, runner, (first, end) = max(choices, key=lambda c: (c[0], c[1].id))
        _count(copies, held[runner.id], -1)
        held[runner.id] = LayerRange(first, end)
        _count(copies, held[runner.id], 1)
        plan[runner.id] = Placement(runner, held[runner.id])
    return list(plan.values())


def _singles_after_move(holders: list[int], layers: LayerRange) -> int:
    """Return how many layers would have one holder left if one of theirs moved."""
    return sum(count <= 2 for count in holders[layers.first : layers.end])


def _move_cost(engine, runner: Target, config: LayoutConfig, gap: int):
    """Return a key that is least for the runner to move.

    As much of the gap as possible shall be filled; of the runners that fill it, the one
    that loads least is ready first and takes the least away from where it was.
    """
    size = layers_for(engine, runner, config)
    return (-min(size, gap), size, runner.id)


def _first_gap(copies: list[int]) -> LayerRange:
    first = copies.index(0)
    end = first
    while end < len(copies) and copies[end] == 0:
        end += 1
    return LayerRange(first, end)


def _is_redundant(copies: list[int], layers: LayerRange) -> bool:
    return all(count > 1 for count in copies[layers.first : layers.end])


def _thinnest(copies: list[int], size: int) -> LayerRange:
    """Return the window with the most missing layers, then the fewest copies."""

    def badness(first: int) -> tuple[int, int, int]:
        window = copies[first : first + size]
        return (-window.count(0), sum(window), first)

    first = min(range(len(copies) - size + 1), key=badness)
    return LayerRange(first, first + size)


def _count(copies: list[int], layers: LayerRange | None, by: int) -> None:
    if layers is None:
        return
    for layer in range(layers.first, min(layers.end, len(copies))):
        copies[layer] += by

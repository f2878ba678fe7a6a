"""Plan of the layers that runners shall hold; pure functions without I/O or state."""

from collections.abc import Iterable
from dataclasses import dataclass

from heathershunt.catalog import Engine
from heathershunt.discovery import LayerRange, Target
from heathershunt.pipelines.versions import has_valid_layers


@dataclass(frozen=True)
class LayoutConfig:
    """Limits of the memory that layers may take on a runner.

    :param weight_fraction: share of a runner's memory for layers; the rest is for the
        KV cache.
    :param min_kv_tokens: smallest KV cache beside each layer, in tokens.

    .. versionadded:: 0.2
    """

    weight_fraction: float = 0.66
    min_kv_tokens: int = 8000


@dataclass(frozen=True, slots=True)
class Placement:
    """An order to a runner to hold layers.

    .. versionadded:: 0.2
    """

    runner: Target
    layers: LayerRange


def default_layer_count(engine: Engine, runner: Target, config: LayoutConfig) -> int:
    """Return how many layers an empty runner gets; 0 for an unknown kind."""
    kind = engine.kinds_by_name.get(runner.kind)
    if kind is None or engine.layer_mb <= 0:
        return 0
    by_fraction = int(kind.memory_mb * config.weight_fraction / engine.layer_mb)
    return min(by_fraction, max_layer_count(engine, runner, config))


def max_layer_count(engine: Engine, runner: Target, config: LayoutConfig) -> int:
    """Return how many layers fit a runner beside the smallest KV cache allowed."""
    kind = engine.kinds_by_name.get(runner.kind)
    if kind is None or engine.layer_mb <= 0:
        return 0
    kv_mb = config.min_kv_tokens * engine.kv_mb
    return min(int(kind.memory_mb / (engine.layer_mb + kv_mb)), engine.layers)


def plan_layout(
    engine: Engine,
    runners: Iterable[Target],
    config: LayoutConfig,
    ordered: Iterable[Placement] = (),
) -> list[Placement]:
    """Return the orders that complete the layers of each failure domain.

    Runners that hold layers keep them, unless their domain lacks layers and other
    runners hold all of theirs too.

    :param runners: runners that are not about to leave; those that claim layers that
        the model does not have are left out.
    :param ordered: orders whose effect the runners do not report yet.
    """
    pending = {placement.runner.id: placement.layers for placement in ordered}
    by_domain: dict[str, list[Target]] = {}
    holders = [0] * engine.layers
    for runner in runners:
        if runner.held is not None and not has_valid_layers(engine, runner):
            continue
        by_domain.setdefault(runner.domain, []).append(runner)
        _add_copies(holders, _kept_layers(runner, pending), 1)
    plan: list[Placement] = []
    for domain in sorted(by_domain):
        plan += _plan_domain(engine, by_domain[domain], config, pending, holders)
    return plan


def _kept_layers(runner: Target, pending: dict[str, LayerRange]) -> LayerRange | None:
    """Return the layers that a runner holds now and keeps after its pending order.

    Layers that the runner has yet to load do not count.
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
    """Plan the layers of one failure domain.

    :param holders: number of runners in all domains that hold each layer now.
    """
    held = {runner.id: pending.get(runner.id, runner.held) for runner in runners}
    copies = [0] * engine.layers
    for layers in held.values():
        _add_copies(copies, layers, 1)
    empty = [runner for runner in runners if held[runner.id] is None]
    # Large runners first, which leaves few and wide gaps for the small ones.
    empty.sort(
        key=lambda runner: (-default_layer_count(engine, runner, config), runner.id)
    )
    plan = []
    for runner in empty:
        size = default_layer_count(engine, runner, config)
        if size == 0:
            continue
        layers = _least_covered(copies, size)
        _add_copies(copies, layers, 1)
        plan.append(Placement(runner, layers))
    return plan + _fill_gaps(engine, runners, config, pending, held, copies, holders)


def _fill_gaps(
    engine, runners, config, pending, held, copies, holders
) -> list[Placement]:
    """Move redundant runners to layers that no runner of the domain holds.

    A runner whose move would leave a layer with a single holder in all domains is
    moved last, as that holder may be about to leave.
    """
    plan = []
    movable = [r for r in runners if r.held is not None and r.id not in pending]
    loaded = [0] * engine.layers
    for runner in runners:
        _add_copies(loaded, _kept_layers(runner, pending), 1)
    while 0 in copies:
        redundant = [r for r in movable if _is_redundant(loaded, held[r.id])]
        if not redundant:
            break
        gap = _first_gap(copies)
        runner = min(
            redundant,
            key=lambda r: (
                _single_holders_after_move(holders, held[r.id]),
                _move_cost(engine, r, config, gap.size),
            ),
        )
        movable.remove(runner)
        size = default_layer_count(engine, runner, config)
        _add_copies(copies, held[runner.id], -1)
        _add_copies(loaded, held[runner.id], -1)
        _add_copies(holders, held[runner.id], -1)
        layers = _least_covered(copies, size)
        _add_copies(copies, layers, 1)
        held[runner.id] = layers
        plan.append(Placement(runner, layers))
    return plan + _extend_into_gaps(engine, movable, config, held, copies)


def _extend_into_gaps(engine, runners, config, held, copies) -> list[Placement]:
    """Extend runners with adjacent layers into the gaps, as far as memory allows."""
    plan: dict[str, Placement] = {}
    while 0 in copies:
        gap = _first_gap(copies)
        choices = []
        for runner in runners:
            layers = held[runner.id]
            room = max_layer_count(engine, runner, config) - layers.size
            size = min(room, gap.size)
            if size > 0 and layers.end == gap.first:
                choices.append((size, runner, (layers.first, layers.end + size)))
            elif size > 0 and layers.first == gap.end:
                choices.append((size, runner, (layers.first - size, layers.end)))
        if not choices:
            break
        _, runner, (first, end) = max(choices, key=lambda c: (c[0], c[1].id))
        _add_copies(copies, held[runner.id], -1)
        held[runner.id] = LayerRange(first, end)
        _add_copies(copies, held[runner.id], 1)
        plan[runner.id] = Placement(runner, held[runner.id])
    return list(plan.values())


def _single_holders_after_move(holders: list[int], layers: LayerRange) -> int:
    """Return how many layers would have at most one holder after a holder moved."""
    return sum(count <= 2 for count in holders[layers.first : layers.end])


def _move_cost(engine, runner: Target, config: LayoutConfig, gap: int):
    """Return a sort key that is smallest for the best runner to move into a gap.

    The move shall fill as much of the gap as possible. Of the runners that fill it, the
    one with the fewest layers to load is ready first and drops the fewest layers.

    :param gap: number of layers in the gap.
    """
    size = default_layer_count(engine, runner, config)
    return (-min(size, gap), size, runner.id)


def _first_gap(copies: list[int]) -> LayerRange:
    first = copies.index(0)
    end = first
    while end < len(copies) and copies[end] == 0:
        end += 1
    return LayerRange(first, end)


def _is_redundant(copies: list[int], layers: LayerRange) -> bool:
    return all(count > 1 for count in copies[layers.first : layers.end])


def _least_covered(copies: list[int], size: int) -> LayerRange:
    """Return the range of ``size`` layers with the most missing, then fewest copies."""

    def sort_key(first: int) -> tuple[int, int, int]:
        window = copies[first : first + size]
        return (-window.count(0), sum(window), first)

    first = min(range(len(copies) - size + 1), key=sort_key)
    return LayerRange(first, first + size)


def _add_copies(copies: list[int], layers: LayerRange | None, delta: int) -> None:
    if layers is None:
        return
    for layer in range(layers.first, min(layers.end, len(copies))):
        copies[layer] += delta

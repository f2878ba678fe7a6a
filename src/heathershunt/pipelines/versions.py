"""Choice of the version of the weights that a chain uses."""

from collections.abc import Collection, Iterable

from heathershunt.catalog import Engine
from heathershunt.discovery import Target
from heathershunt.pipelines.search import ranges_cover


def has_valid_layers(engine: Engine, runner: Target) -> bool:
    """Return whether a runner holds layers, and only such that the model has."""
    return runner.held is not None and runner.held.end <= engine.layers


def of_newest_version(
    engine: Engine, runners: Iterable[Target], avoided: Collection[str]
) -> list[Target]:
    """Return the runners with the newest weights of which they hold all layers.

    A chain must not mix versions. If no version is complete, the newest one counts.

    :param avoided: ids of runners not to use.
    """
    by_version: dict[int, list[Target]] = {}
    for runner in runners:
        if has_valid_layers(engine, runner) and runner.id not in avoided:
            by_version.setdefault(runner.held.version, []).append(runner)
    versions = sorted(by_version, reverse=True)
    if len(versions) == 1:
        return by_version[versions[0]]
    complete = (v for v in versions if _is_complete(engine, by_version[v]))
    version = next(complete, versions[0] if versions else None)
    return [] if version is None else by_version[version]


def _is_complete(engine: Engine, runners: Iterable[Target]) -> bool:
    ranges = ((runner.held.first, runner.held.end) for runner in runners)
    return ranges_cover(ranges, engine.layers)

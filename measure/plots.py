"""Plots of the figures in ``build/measure.json``: ``python -m measure.plots``.

Writes SVG files to ``docs/plots``; a plot with a missing figure is skipped.
"""

import json
import re

import matplotlib

from measure.__main__ import RESULT_FILE, ROOT

matplotlib.use("svg")
# A fixed salt gives the same element ids, and so equal files for equal figures.
matplotlib.rcParams["svg.hashsalt"] = "heathershunt"

from matplotlib import pyplot  # noqa: E402

FOLDER = ROOT / "docs" / "plots"
FLOOR = re.compile(r"floor (\d+) ms")
PERCENTILES = (50, 95, 99)
FAULTS = ("kill", "pause", "link")


def load_figures() -> dict[str, dict]:
    """Return all figures by name."""
    results = json.loads(RESULT_FILE.read_text())
    return {f["name"]: f for result in results.values() for f in result["figures"]}


def save(name: str, figure) -> None:
    """Write a plot as SVG, without a date so that equal figures give equal files."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    figure.tight_layout()
    figure.savefig(FOLDER / f"{name}.svg", metadata={"Date": None})
    pyplot.close(figure)


def plot_recovery(figures: dict[str, dict]) -> None:
    """Plot recovery times with their lower bounds, and those of the baseline."""
    cases = [f"{fault}.stage{stage}" for fault in FAULTS for stage in range(3)]
    cases += ["entry_kill", "entry_pause", "baseline_kill", "baseline_pause"]
    figure, axes = pyplot.subplots(figsize=(9, 4.5))
    for index, case in enumerate(cases):
        median = figures[f"recovery.{case}.p50"]
        tail = figures[f"recovery.{case}.p95"]["value"] - median["value"]
        error = [[0], [max(0, tail)]]
        axes.bar(index, median["value"], yerr=error, color="tab:blue", capsize=3)
        floor = FLOOR.match(median["bound"])
        if floor:
            floor_ms = float(floor[1])
            axes.hlines(floor_ms, index - 0.4, index + 0.4, color="black", linewidth=2)
    axes.set_xticks(range(len(cases)), cases, rotation=45, ha="right")
    axes.set_yscale("log")
    axes.set_ylabel("time to next token (ms)")
    axes.set_title("Recovery time: median and 95th percentile; black line: lower bound")
    save("recovery", figure)


def plot_throughput(figures: dict[str, dict]) -> None:
    """Plot throughput and goodput against the offered load."""
    figure, axes = pyplot.subplots(figsize=(7, 4.5))
    pattern = re.compile(r"throughput\.(baseline\.)?at_([\d.]+)\.(throughput|goodput)$")
    points: dict[str, list[tuple[float, float]]] = {}
    for name, figure_of in figures.items():
        match = pattern.match(name)
        if match:
            label = f"{'baseline ' if match[1] else ''}{match[3]}"
            point = (float(match[2]), figure_of["value"])
            points.setdefault(label, []).append(point)
    for label, line in points.items():
        style = "--" if label.startswith("baseline") else "-"
        axes.plot(*zip(*sorted(line), strict=True), style, marker="o", label=label)
    axes.axhline(0.95, color="grey", linewidth=1)
    axes.set_xlabel("offered load / upper bound")
    axes.set_ylabel("fraction of the upper bound")
    axes.set_ylim(0, 1.1)
    axes.legend()
    save("throughput", figure)


def plot_relay(figures: dict[str, dict]) -> None:
    """Plot the direct latency of tokens and first tokens, and what the daemon adds."""
    figure, panels = pyplot.subplots(1, 2, figsize=(8, 4))
    for axes, kind in zip(panels, ("token", "first_token"), strict=True):
        direct = [figures[f"relay.{kind}.direct.p{c}"]["value"] for c in PERCENTILES]
        added = [figures[f"relay.{kind}.added.p{c}"]["value"] for c in PERCENTILES]
        axes.bar(range(3), direct, label="direct")
        axes.bar(range(3), added, bottom=direct, label="added by the daemon")
        axes.set_xticks(range(3), [f"p{c}" for c in PERCENTILES])
        axes.set_title(kind.replace("_", " "))
        axes.set_ylabel("ms")
        axes.legend()
    save("relay", figure)


def main() -> None:
    """Write all plots whose figures exist."""
    figures = load_figures()
    for name, plot in (
        ("recovery", plot_recovery),
        ("throughput", plot_throughput),
        ("relay", plot_relay),
    ):
        try:
            plot(figures)
        except KeyError as missing:
            print(f"{name}: plot skipped, no figure {missing}")


if __name__ == "__main__":
    main()

"""Run measurements, each in its own process, and collect their figures.

``python -m measure`` runs every module of this package whose name has no leading
underscore, except ``plots``; ``python -m measure NAME...`` runs the named ones and
keeps the figures of all others in ``build/measure.json``. A measurement prints each
figure as ``name<TAB>value<TAB>unit<TAB>bound``; other lines of its output are copied to
standard error. The exit code is 1 if any measurement failed.
"""

import json
import os
import pkgutil
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
RESULT_FILE = ROOT / "build" / "measure.json"
NOT_MEASUREMENTS = {"plots"}
TOTAL_LIMIT_SECONDS = 600
FIELD_COUNT = 4


def measurement_names() -> list[str]:
    """Return the names of all measurements of this package."""
    modules = pkgutil.iter_modules([str(Path(__file__).parent)])
    names = [module.name for module in modules]
    return [n for n in names if n[0] != "_" and n not in NOT_MEASUREMENTS]


def parse_figure(line: str) -> dict | None:
    """Parse one output line of a measurement; return ``None`` if it is no figure."""
    fields = line.split("\t")
    if len(fields) != FIELD_COUNT:
        return None
    name, text, unit, bound = fields
    try:
        value = float(text)
    except ValueError:
        return None
    return {"name": name, "value": value, "unit": unit, "bound": bound}


def run_one(name: str, seconds: float) -> tuple[list[dict], str]:
    """Run one measurement and print its figures.

    :param seconds: time limit; the process is terminated after it.
    :return: the figures, and the error, empty if there is none.
    """
    process = subprocess.Popen(
        [sys.executable, "-m", f"measure.{name}"],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": "src:.", "PYTHONHASHSEED": "0"},
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        output, _ = process.communicate(timeout=seconds)
        error = f"exit code {process.returncode}" if process.returncode else ""
    except subprocess.TimeoutExpired:
        process.terminate()
        output, _ = process.communicate()
        error = f"terminated after {seconds:.0f} s: the total time limit was reached"
    figures = []
    for line in output.splitlines():
        figure = parse_figure(line)
        if figure is None:
            print(line, file=sys.stderr)
            continue
        figures.append(figure)
        print("{name:52} {value:>12g} {unit:14} {bound}".format(**figure), flush=True)
    return figures, error


def main() -> None:
    """Run the measurements and write their figures to ``RESULT_FILE``."""
    names = sys.argv[1:] or measurement_names()
    unknown = set(names) - set(measurement_names())
    if unknown:
        sys.exit(f"no such measurement: {', '.join(sorted(unknown))}")
    results = {}
    if sys.argv[1:] and RESULT_FILE.exists():
        results = json.loads(RESULT_FILE.read_text())
    deadline = time.monotonic() + TOTAL_LIMIT_SECONDS
    failed = []
    for name in names:
        started = time.monotonic()
        figures, error = run_one(name, max(1.0, deadline - started))
        if error:
            failed.append(name)
            print(f"{name}: {error}", file=sys.stderr)
        elapsed = round(time.monotonic() - started, 1)
        results[name] = {"figures": figures, "error": error, "seconds": elapsed}
    RESULT_FILE.parent.mkdir(exist_ok=True)
    RESULT_FILE.write_text(json.dumps(results, indent=1) + "\n")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()

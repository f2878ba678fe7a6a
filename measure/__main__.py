"""Run measurements, each in its own process, and collect their figures.

``python -m measure`` runs every module of this package whose name has no leading
underscore, except ``plots``; ``python -m measure NAME...`` runs the named ones and
keeps the other figures of ``build/measure.json``. A measurement prints figures as
``name<TAB>value<TAB>unit<TAB>bound``; other lines are passed on to standard error.
"""

import json
import os
import pkgutil
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
RESULT = ROOT / "build" / "measure.json"
NOT_MEASUREMENTS = {"plots"}
TOTAL_SECONDS = 600
FIELDS = 4


def all_names() -> list[str]:
    """Return the names of the measurements."""
    modules = pkgutil.iter_modules([str(Path(__file__).parent)])
    names = [module.name for module in modules]
    return [n for n in names if n[0] != "_" and n not in NOT_MEASUREMENTS]


def parse_figure(line: str) -> dict | None:
    """Return the figure in a line of a measurement, ``None`` for other lines."""
    fields = line.split("\t")
    if len(fields) != FIELDS:
        return None
    name, text, unit, bound = fields
    try:
        value = float(text)
    except ValueError:
        return None
    return {"name": name, "value": value, "unit": unit, "bound": bound}


def run_one(name: str, seconds: float) -> tuple[list[dict], str]:
    """Run one measurement; return its figures and its error, empty if none."""
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
        error = f"ended after {seconds:.0f} s, when the time for all was used up"
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
    """Run the measurements and write the result file."""
    names = sys.argv[1:] or all_names()
    unknown = set(names) - set(all_names())
    if unknown:
        sys.exit(f"no such measurement: {', '.join(sorted(unknown))}")
    results = {}
    if sys.argv[1:] and RESULT.exists():
        results = json.loads(RESULT.read_text())
    end = time.monotonic() + TOTAL_SECONDS
    failed = []
    for name in names:
        started = time.monotonic()
        figures, error = run_one(name, max(1.0, end - started))
        if error:
            failed.append(name)
            print(f"{name}: {error}", file=sys.stderr)
        taken = round(time.monotonic() - started, 1)
        results[name] = {"figures": figures, "error": error, "seconds": taken}
    RESULT.parent.mkdir(exist_ok=True)
    RESULT.write_text(json.dumps(results, indent=1) + "\n")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()

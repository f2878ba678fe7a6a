"""Figures of routing, admission and retries: ``python -m measure.decisions``.

Prints one line for each figure: name, value, unit and baseline, separated by tabs. The
baselines are round-robin and least-loaded routing, no admission control, and a fixed
number of retries.
"""

from measure import admission_figures, retry_figures, routing_figures


def main() -> None:
    """Print all figures."""
    routing_figures.main()
    admission_figures.main()
    retry_figures.main()


if __name__ == "__main__":
    main()

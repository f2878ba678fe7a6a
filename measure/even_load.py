"""Figures of the load over unequal runners: ``python -m measure.even_load``.

Chains are chosen at 4 to 390 VMs with reports that are 0.2 to 3 s old, and by an oracle
that knows all loads at once. Measured are a steady demand, and the first second
after a restart of all VMs, when nothing is known.
"""

import argparse
from statistics import fmean, quantiles

from measure._load_fleet import Figures, LoadFleet
from measure._report import emit

FLEETS = (4, 33, 71, 390)
REPORTS_MS = (200, 500, 1000, 3000)
STEADY = [140] * 12
STEADY_WARMUP_MS = 4000
# Requests of the first second after a restart.
RESTART = [551]
ORACLE_START_S = 2
SEED = 1


def emit_figures(name: str, figures: Figures) -> None:
    """Print the figures of one run."""
    emit(f"{name}.variance", fmean(figures.variances), "of the share of KV in use")
    within = fmean(figures.kind_variances)
    emit(f"{name}.variance_in_kind", within, "of the share of KV in use")
    emit(f"{name}.peak", fmean(figures.peaks), "share of KV in use")
    emit(f"{name}.busiest_first", fmean(figures.busiest), "of its share of capacity")
    per_1000 = 1000 / figures.requests
    emit(f"{name}.rejections", figures.rejections * per_1000, "in 1,000 requests")
    emit(f"{name}.refused", figures.refused * per_1000, "in 1,000 requests")
    centiles = quantiles(figures.first_event_ms, n=100)
    emit(f"{name}.first_event.p50", centiles[49], "ms", "500")
    emit(f"{name}.first_event.p99", centiles[98], "ms", "500")
    emit(f"{name}.request", fmean(figures.request_ms), "ms")
    emit(f"{name}.search", figures.search_s / figures.searches * 1e6, "us")


def measure(
    vms: int, report_ms: int, is_restart: bool, has_oracle: bool = False
) -> Figures:
    """Return the figures of one run."""
    rates = RESTART if is_restart else STEADY
    warmup_ms = 0 if is_restart else STEADY_WARMUP_MS
    if has_oracle:
        # A ledger is not reliable in its first moments.
        rates = [0] * ORACLE_START_S + rates
        warmup_ms += 1000 * ORACLE_START_S
    return LoadFleet(vms, report_ms, has_oracle, rates, warmup_ms, SEED).run()


def main() -> None:
    """Print the figures of all runs, or of those that are named."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--vms", type=int, nargs="*", default=FLEETS)
    parser.add_argument("--reports-ms", type=int, nargs="*", default=REPORTS_MS)
    arguments = parser.parse_args()
    for is_restart, kind in ((False, "steady"), (True, "restart")):
        oracle = measure(1, 0, is_restart, has_oracle=True)
        emit_figures(f"even_load.{kind}.oracle", oracle)
        for vms in arguments.vms:
            for report_ms in arguments.reports_ms:
                name = f"even_load.{kind}.{vms}_vms.{report_ms}_ms"
                emit_figures(name, measure(vms, report_ms, is_restart))


if __name__ == "__main__":
    main()

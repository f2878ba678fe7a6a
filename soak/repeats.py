"""Check of the retry budget by the requests that arrived at the targets."""

from collections import defaultdict

from soak.site import SoakSite

# The users' ``retry_budget_ratio`` and ``budget_window_s``, which a soak leaves as is.
RATIO = 0.2
WINDOW_SECONDS = 10.0


def find_excess(
    arrivals: list[tuple[float, str]], ratio: float, slack: float, window_s: float
) -> str | None:
    """Return by how much some window holds too many repeats; ``None`` if none does.

    The requests of a window count as in the users' rule: those of it, of the one before
    or of the one half a window before, whichever has most. Only those that arrived are
    known here, which makes the check stricter than the rule.

    :param arrivals: time in seconds and id of each request that reached the service.
    """
    first: list[float] = []
    repeats: list[float] = []
    seen: set[str] = set()
    for at, request_id in sorted(arrivals):
        (repeats if request_id in seen else first).append(at)
        seen.add(request_id)

    def count(times: list[float], end: float) -> int:
        return sum(end - window_s < at <= end for at in times)

    for end in repeats:
        ends = (end, end - window_s / 2, end - window_s)
        requests = max(count(first, item) for item in ends)
        found, allowed = count(repeats, end), ratio * requests + slack
        if found > allowed:
            return f"{found} repeats in the window to {end:.3f}, {allowed:.1f} allowed"
    return None


def check_repeats(site: SoakSite) -> list[str]:
    """Return the violations of all services of a site."""
    arrivals = defaultdict(list)
    for target in site.targets.values():
        arrivals[target.service] += target.received
    slack = site.extent.retry_slack
    found = {
        service: find_excess(items, RATIO, slack, WINDOW_SECONDS)
        for service, items in arrivals.items()
    }
    return [f"BUDGET {service}: {text}" for service, text in found.items() if text]

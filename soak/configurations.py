"""Configuration of a soak's site: the base, its changes and all versions of it."""

import asyncio
import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from math import inf
from typing import Any

HOST = "site.example"
LAYERS = 80
# Services that a route may be moved to, the usual one first.
SERVICES = {
    "drafts": ("engine", "press"),
    "letters": ("engine", "press"),
    "orders": ("desk", "counter"),
    "status": ("desk", "counter"),
}
OWNER, GUEST = "owner", "guest"
GUEST_KEY = "guest-key"
LONG_IDLE_MS = 75_000
SHORT_IDLE_MS = (1000, 1500, 2500)
TIMEOUTS_MS = (200, 500, 1500, 3000, 6000, 30_000)
SMALL_BODY_BYTES = 20_000
LARGE_BODY_BYTES = 1_048_576
SMALL_HEADER_BYTES = 4096
MIN_CHANGE_SECONDS = 0.1
MAX_CHANGE_SECONDS = 0.6


def base_configuration(keys: list[str]) -> dict:
    """Return a configuration with the API keys of one client account."""
    common = {"host": HOST, "timeout_ms": 6000, "target_latency_ms": 300}
    drafts = common | {"name": "drafts", "prefix": "/drafts/", "kind": "streaming"}
    drafts |= {"service": "engine", "max_attempts": 2, "resumable": True}
    drafts["target_gap_ms"] = 150
    orders = common | {"name": "orders", "prefix": "/orders/", "service": "desk"}
    status = common | {"name": "status", "prefix": "/status/", "service": "desk"}
    orders["kind"] = "non_idempotent"
    status |= {"kind": "idempotent", "max_attempts": 2}
    engine = {"step_ms": 0.85, "read_per_s": 196_000.0, "kv_token_bytes": 1_180_000}
    engine |= {"layers": LAYERS, "layer_mb": 1750.0, "usual": {"answer": 80}}
    engine["models"] = [{"name": "m", "load_s": 1.0}]
    engine["kinds"] = [{"name": "large", "mb": 90_000.0}]
    return {
        "routes": [drafts, orders, status],
        "services": [{"name": "engine", "engine": engine}, {"name": "desk"}],
        "tenants": [{"name": OWNER, "api_keys": keys}],
    }


def wide_configuration(keys: list[str]) -> dict:
    """Return the base with second services, a guest and streams without resumption."""
    configuration = base_configuration(keys)
    drafts, engine = configuration["routes"][0], configuration["services"][0]
    letters = drafts | {"name": "letters", "prefix": "/letters/", "resumable": False}
    configuration["routes"].append(letters)
    configuration["services"] += [engine | {"name": "press"}, {"name": "counter"}]
    configuration["tenants"].append({"name": GUEST, "api_keys": [GUEST_KEY]})
    configuration["limits"] = {"idle_timeout_ms": LONG_IDLE_MS}
    return configuration


@dataclass
class Version:
    """One version of the configuration and the time for which it was the newest."""

    configuration: dict[str, Any]
    put_at: float
    replaced_at: float = inf

    def route(self, path: str) -> dict[str, Any] | None:
        """Return the route of a path; ``None`` without one."""
        routes = self.configuration["routes"]
        matching = [route for route in routes if path.startswith(route["prefix"])]
        return max(matching, key=lambda route: len(route["prefix"]), default=None)

    def account(self, key: str) -> str | None:
        """Return the client account that holds an API key."""
        for tenant in self.configuration["tenants"]:
            if key in tenant["api_keys"]:
                return tenant["name"]
        return None

    def limit(self, name: str, default: int) -> int:
        """Return a limit on callers."""
        return self.configuration.get("limits", {}).get(name, default)


@dataclass
class SiteConfiguration:
    """The newest configuration and all versions before it.

    :param is_wide: whether it is :func:`wide_configuration` that changes.
    :ivar routes: changed fields by the name of their route; ``None`` if it is removed.
    """

    is_wide: bool
    version: int = 0
    routes: dict[str, dict[str, Any] | None] = field(default_factory=dict)
    limits: dict[str, int] = field(default_factory=dict)
    extra_prefix: str | None = None
    guest: dict[str, Any] | None = field(default_factory=dict)
    versions: list[Version] = field(default_factory=list)

    def build(self, keys: list[str]) -> dict:
        """Return the newest configuration.

        :param keys: API keys of the owner.
        """
        if not self.is_wide:
            return base_configuration(keys) | {"version": self.version}
        built = wide_configuration(list(keys))
        status = next(r for r in built["routes"] if r["name"] == "status")
        routes = []
        for route in built["routes"]:
            changes = self.routes.get(route["name"], {})
            if changes is not None:
                routes.append(route | changes)
        if self.extra_prefix is not None:
            routes.append(status | {"name": "extra", "prefix": self.extra_prefix})
        built |= {"version": self.version, "routes": routes}
        built["limits"] |= self.limits
        if self.guest is None:
            built["tenants"].pop()
        else:
            built["tenants"][-1] |= self.guest
        return built

    def record(self, keys: list[str]) -> None:
        """Keep the version that is put in force now."""
        now = asyncio.get_running_loop().time()
        if self.versions:
            self.versions[-1].replaced_at = now
        self.versions.append(Version(self.build(keys), now))

    def in_force(self, start: float, end: float) -> Iterator[Version]:
        """Yield the versions that were the newest at some moment of a time."""
        for version in self.versions:
            if version.put_at <= end and start <= version.replaced_at:
                yield version

    def reset(self) -> None:
        """Undo all changes."""
        self.routes.clear()
        self.limits.clear()
        self.extra_prefix = None
        self.guest = {}


class ConfigurationChanges:
    """Changes the configuration in every way, and back, for a given time.

    :param publish: writes the next version to the store.
    :ivar log: the changes with their loop time.
    """

    def __init__(self, settings: SiteConfiguration, rng: random.Random, publish):
        self._settings = settings
        self._rng = rng
        self._publish = publish
        self.log: list[str] = []

    async def run(self, seconds: float) -> None:
        """Make changes for ``seconds``, in the end back to the base."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            change = self._rng.choice(
                (
                    self._move_route,
                    self._split_route,
                    self._change_prefix,
                    self._add_prefix,
                    self._change_timeout,
                    self._change_timeout,
                    self._change_idle_limit,
                    self._change_size_limits,
                    self._change_guest,
                    self._change_rank,
                    self._change_attempts,
                    self._restore_route,
                )
            )
            self.log.append(f"{loop.time():.3f} configuration: {change()}")
            self._publish()
            pause = self._rng.uniform(MIN_CHANGE_SECONDS, MAX_CHANGE_SECONDS)
            await asyncio.sleep(pause)
        self._settings.reset()
        self._publish()

    def _change(self, name: str, **fields: Any) -> str:
        changes = self._settings.routes.get(name) or {}
        self._settings.routes[name] = changes | fields
        return f"{name} {fields}"

    def _route(self) -> str:
        return self._rng.choice(list(SERVICES))

    def _move_route(self) -> str:
        name = self._route()
        return self._change(
            name, service=self._rng.choice(SERVICES[name]), traffic_split=[]
        )

    def _split_route(self) -> str:
        name = self._route()
        split = [
            {"service": service, "weight": self._rng.choice((0.0, 1.0, 5.0))}
            for service in SERVICES[name]
        ]
        return self._change(name, traffic_split=split)

    def _change_prefix(self) -> str:
        name = self._route()
        if self._rng.random() < 0.5:
            self._settings.routes[name] = None
            return f"{name} removed"
        return self._change(name, prefix=f"/moved-{name}/")

    def _add_prefix(self) -> str:
        self._settings.extra_prefix = self._rng.choice((None, "/orders/x/", "/extra/"))
        return f"extra prefix {self._settings.extra_prefix}"

    def _change_timeout(self) -> str:
        return self._change(self._route(), timeout_ms=self._rng.choice(TIMEOUTS_MS))

    def _change_idle_limit(self) -> str:
        limit_ms = self._rng.choice((*SHORT_IDLE_MS, LONG_IDLE_MS))
        self._settings.limits["idle_timeout_ms"] = limit_ms
        return f"idle limit {limit_ms} ms"

    def _change_size_limits(self) -> str:
        limits = {
            "max_body_bytes": self._rng.choice((SMALL_BODY_BYTES, LARGE_BODY_BYTES)),
            "max_header_bytes": self._rng.choice((SMALL_HEADER_BYTES, 16_384)),
        }
        self._settings.limits |= limits
        return str(limits)

    def _change_guest(self) -> str:
        guests = (None, {}, {"priority": 0}, {"priority": 3}, {"api_keys": []})
        self._settings.guest = self._rng.choice(guests)
        return f"guest {self._settings.guest}"

    def _change_rank(self) -> str:
        return self._change(self._route(), priority=self._rng.randrange(4))

    def _change_attempts(self) -> str:
        name = self._route()
        fields = {"max_attempts": self._rng.randint(1, 3)}
        if name == "drafts":
            fields["resumable"] = self._rng.random() < 0.5
        return self._change(name, **fields)

    def _restore_route(self) -> str:
        name = self._route()
        self._settings.routes.pop(name, None)
        return f"{name} as at first"

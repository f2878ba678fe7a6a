"""The manifest that the scripts of this review write as the operator."""

KEY = "key-one"
HOST = "site.example"
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}

ENGINE = {
    "step_ms": 0.85,
    "per_seq_ms": 0.00764,
    "context_per_k": 0.01024,
    "read_per_s": 196_000.0,
    "kv_token_bytes": 1_180_000,
    "layers": 80,
    "layer_mb": 1750.0,
    "models": [{"name": "m0", "load_s": 14.0}],
    "kinds": [{"name": "large", "mb": 72_000.0, "pace": 1.4, "read_factor": 1.0}],
    "usual": {"prompt": 772, "answer": 167},
}


def route(name: str, kind: str, service: str, **changes) -> dict:
    """Return a route with the prefix ``/NAME/``."""
    common = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": 1500,
        "target_latency_ms": 400,
        "priority": 2,
        "max_attempts": 2 if kind == "idempotent" else 1,
        "public": False,
    }
    return common | changes


def manifest(version: int, routes: list[dict], **changes) -> dict:
    """Return a manifest with the services that its routes name."""
    services = sorted({item["service"] for item in routes})
    base = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/health", "max_connections": 96}
            for name in services
        ],
        "limits": LIMITS,
        "tenants": [{"name": "owner", "api_keys": [KEY], "priority": 1}],
    }
    return base | changes

"""Bundles for demos, tests and measurements."""

import hashlib


def token_sha256(token: str) -> str:
    """Return the SHA-256 of a bearer token in hex, as a bundle stores it."""
    return hashlib.sha256(token.encode()).hexdigest()


def demo_bundle(version: int, model_version: str = "v1", layers: int = 12) -> dict:
    """Return a bundle with one model, one service and two client accounts."""
    return {
        "version": version,
        "priorities": [
            {"name": "normal", "rank": 1},
            {"name": "urgent", "rank": 0},
        ],
        "models": [{"name": "m", "layers": layers, "version": model_version}],
        "services": [
            {
                "name": "orders",
                "idempotent": [{"method": "GET", "path_prefix": "/"}],
            }
        ],
        "accounts": [
            {"name": name, "token_sha256": [token_sha256(f"{name}-token")]}
            for name in ("parish", "notary")
        ],
    }

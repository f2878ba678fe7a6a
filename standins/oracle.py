"""The toy model that the engine stand-in runs, and the answers expected of it.

The value of a token is passed through every layer in order, so a text that matches the
expected one proves that each layer ran exactly once and in order.
"""

import hashlib

MASK = (1 << 64) - 1
MULTIPLIER = 6364136223846793005
INCREMENT = 1442695040888963407
SYLLABLES = ("ba", "co", "di", "fu", "ga", "he", "ki", "lo", "mu", "na", "po", "ri")


def version_salt(model: str, version: str, adapter: str) -> int:
    """Return a number derived from the model version, in place of its weights."""
    digest = hashlib.sha256(f"{model}\0{version}\0{adapter}".encode()).digest()
    return int.from_bytes(digest[:8], "big") | 1


def embed(prompt: str, seed: int, tokens: list[str]) -> int:
    """Return the input of layer 0 for the token after ``tokens``."""
    last = tokens[-1] if tokens else ""
    text = f"{prompt}\0{seed}\0{len(tokens)}\0{last}"
    return int.from_bytes(hashlib.sha256(text.encode()).digest()[:8], "big")


def run_layers(value: int, salt: int, first_layer: int, end_layer: int) -> int:
    """Return the output of the layers ``[first_layer, end_layer)`` for ``value``."""
    for layer in range(first_layer, end_layer):
        value = (value * MULTIPLIER + INCREMENT + salt * (layer + 1)) & MASK
    return value


def decode(value: int) -> str:
    """Return the token text for the output of the last layer."""
    count = len(SYLLABLES)
    word = SYLLABLES[value % count] + SYLLABLES[(value >> 20) % count]
    return f"{word}{(value >> 40) % 100} "


def expected_tokens(
    model: str,
    version: str,
    layers: int,
    prompt: str,
    count: int,
    *,
    adapter: str = "",
    seed: int = 0,
) -> list[str]:
    """Return the tokens of the complete answer of a correct pipeline."""
    salt = version_salt(model, version, adapter)
    tokens: list[str] = []
    for _ in range(count):
        value = run_layers(embed(prompt, seed, tokens), salt, 0, layers)
        tokens.append(decode(value))
    return tokens

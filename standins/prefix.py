"""Hashes of prompt prefixes in blocks, as the engine publishes them."""

import hashlib

WORDS_PER_BLOCK = 16


def prefix_hashes(prompt: str) -> list[str]:
    """Return one hash per whole block of the prompt, each over all up to it."""
    words = prompt.split()
    digest = hashlib.sha256()
    hashes = []
    for start in range(0, len(words) - WORDS_PER_BLOCK + 1, WORDS_PER_BLOCK):
        digest.update(" ".join(words[start : start + WORDS_PER_BLOCK]).encode())
        hashes.append(digest.hexdigest()[:16])
    return hashes

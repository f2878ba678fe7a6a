"""Engines and runners for tests of pipelines."""

from heathershunt.catalog import AcceleratorKind, Engine
from heathershunt.discovery import LayerRange, Target
from heathershunt.http import Address

KINDS = {
    "large": AcceleratorKind("large", 72_000, 1.4, 1.0),
    "medium": AcceleratorKind("medium", 36_000, 3.1, 3.2),
    "small": AcceleratorKind("small", 21_600, 16.0, 8.2),
    "tiny": AcceleratorKind("tiny", 14_400, 15.0, 15.0),
}


def engine():
    return Engine(
        layers=80,
        layer_mb=1750,
        kv_bytes=1_180_000,
        step_ms=0.85,
        sequence_ms=0.00764,
        context_ms=0.01024,
        prefill_tokens_per_ms=196,
        load_ms=14_000,
        mean_prompt_tokens=772,
        mean_answer_tokens=167,
        kinds_by_name=KINDS,
    )


def runner(number, kind="small", domain="a", held=None, address=None, **options):
    return Target(
        id=f"r{number:02}",
        service="s",
        address=address or Address("10.0.0.1", number),
        domain=domain,
        slots=96,
        kind=kind,
        held=LayerRange(*held) if held else None,
        **options,
    )

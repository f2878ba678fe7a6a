"""Decoder from the operators' configuration to a catalog."""

import msgspec

from heathershunt.catalog import (
    AcceleratorKind,
    CallerLimits,
    Catalog,
    ClientAccount,
    Engine,
    Route,
    RouteKind,
    Service,
    WeightedService,
    hash_key,
)
from heathershunt.schema.fields import (
    Amount,
    Count,
    Factor,
    HeaderText,
    Label,
    Layer,
    LongText,
    Milliseconds,
    PositiveAmount,
    PositiveWhole,
    Rank,
    TimeLimit,
    Whole,
)

ROUTE_KIND_BY_NAME = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}


class _TrafficShare(msgspec.Struct):
    service: Label
    # 0 takes the service out of the split.
    weight: Amount = 1.0


class _Route(msgspec.Struct):
    name: LongText
    host: LongText
    prefix: LongText
    kind: LongText
    timeout_ms: Milliseconds
    target_latency_ms: Milliseconds = 0.0
    priority: Rank = 0
    service: Label | None = None
    # If not empty, replaces ``service``: requests are distributed by weight.
    traffic_split: list[_TrafficShare] = []
    max_attempts: Count = 1
    public: bool = False
    resumable: bool = False
    target_gap_ms: Milliseconds = 0.0


class _AcceleratorKind(msgspec.Struct):
    name: Label
    mb: Amount
    pace: Factor = 1.0
    read_factor: Factor = 1.0


class _Model(msgspec.Struct):
    load_s: Milliseconds = 0.0


class _TypicalRequest(msgspec.Struct):
    prompt: Amount = 0.0
    answer: Amount = 0.0


class _Engine(msgspec.Struct):
    step_ms: Milliseconds
    per_seq_ms: Milliseconds = 0.0
    # Milliseconds that 1,000 tokens of context add to a step.
    context_per_k: Milliseconds = 0.0
    # Prompt tokens processed by prefill per second.
    read_per_s: PositiveAmount = 1.0
    kv_token_bytes: Amount = 0.0
    layers: Layer = 0
    layer_mb: Amount = 0.0
    models: list[_Model] = []
    kinds: list[_AcceleratorKind] = []
    usual: _TypicalRequest = msgspec.field(default_factory=_TypicalRequest)


class _Service(msgspec.Struct):
    name: Label
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: PositiveWhole = 16_384
    max_body_bytes: Whole = 1_048_576
    header_timeout_ms: TimeLimit = 10_000
    idle_timeout_ms: TimeLimit = 75_000


class _Tenant(msgspec.Struct):
    # Sent to targets in a header field.
    name: HeaderText
    api_keys: list[LongText] = []
    priority: Rank | None = None


class _Configuration(msgspec.Struct):
    version: Whole
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


_decoder = msgspec.json.Decoder(_Configuration)


def decode_configuration(raw: bytes) -> Catalog:
    """Decode one version of the configuration.

    :raises ValueError: if it is malformed or has a number out of bounds.
    """
    configuration = _decoder.decode(raw)
    limits = configuration.limits
    return Catalog.from_parts(
        configuration.version,
        map(_build_route, configuration.routes),
        map(_build_service, configuration.services),
        map(_build_account, configuration.tenants or ()),
        CallerLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_timeout_ms=int(limits.header_timeout_ms),
            idle_timeout_ms=int(limits.idle_timeout_ms),
        ),
        configuration.tenants is not None,
    )


def _build_route(route: _Route) -> Route:
    kind = ROUTE_KIND_BY_NAME.get(route.kind)
    if kind is None:
        # For a kind unknown to this version, no request may be retried.
        kind = RouteKind.NON_IDEMPOTENT
    split = tuple(WeightedService(s.service, s.weight) for s in route.traffic_split)
    if not split and route.service is not None:
        split = (WeightedService(route.service, 1.0),)
    return Route(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        kind=kind,
        services=split,
        timeout_ms=int(route.timeout_ms),
        target_latency_ms=int(route.target_latency_ms),
        target_gap_ms=int(route.target_gap_ms),
        rank=route.priority,
        is_public=route.public,
        is_resumable=route.resumable,
        max_attempts=route.max_attempts,
    )


def _build_service(service: _Service) -> Service:
    engine = service.engine
    if engine is None or not engine.layers:
        return Service(service.name)
    return Service(
        service.name,
        Engine(
            layers=engine.layers,
            layer_mb=engine.layer_mb,
            kv_bytes=engine.kv_token_bytes,
            step_ms=engine.step_ms,
            sequence_ms=engine.per_seq_ms,
            context_ms=engine.context_per_k,
            prefill_tokens_per_ms=engine.read_per_s / 1000,
            load_ms=max((model.load_s for model in engine.models), default=0) * 1000,
            mean_prompt_tokens=engine.usual.prompt,
            mean_answer_tokens=engine.usual.answer,
            kinds_by_name={
                kind.name: AcceleratorKind(
                    kind.name, kind.mb, kind.pace, kind.read_factor
                )
                for kind in engine.kinds
            },
        ),
    )


def _build_account(tenant: _Tenant) -> ClientAccount:
    hashes = tuple(map(hash_key, tenant.api_keys))
    return ClientAccount(tenant.name, hashes, tenant.priority)

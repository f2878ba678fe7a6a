"""Where a plain call would be sent now."""

from heathershunt.gateway.where_messages import PartRow, ServiceRow, TargetRow
from heathershunt.gateway.where_reasons import TargetReasons
from heathershunt.relay import CallRelay, RelayContext


def explain_call(
    context: RelayContext, calls: CallRelay, service: str, weight: float
) -> ServiceRow:
    """Return where a plain call to a service would be sent; changes nothing.

    :param weight: share of the requests of the route.

    .. versionadded:: 0.10
    """
    reasons = TargetReasons(context)
    listed = context.registry.listed(service)
    entered = context.registry.of_service(service)
    usable = context.availability.usable_now(
        entered,
        lambda items: any(not context.suspects.is_ejected(item) for item in items),
    )
    usable_ids = {target.id for target in usable}
    spent = context.limits.spent()
    chosen = calls.preferred(usable)
    targets = tuple(
        TargetRow(
            target.id,
            target.domain,
            target.slots,
            is_chosen=target is chosen,
            left_out=(
                *reasons.away(target, usable_ids),
                *reasons.suspected(target),
                *reasons.limited(target, spent),
            ),
            requests=calls.running(target),
            cost=calls.usage(target),
        )
        for target in sorted(listed, key=lambda target: target.id)
    )
    outcome, detail = "send", "the fewest calls of this VM for each slot"
    if chosen is not None and reasons.is_avoided(chosen):
        detail = "all targets that take calls are suspect; the one with the fewest"
    if chosen is None:
        wait_ms = context.limits.wait_ms(usable, calls.waiting(service))
        outcome, detail = "refuse", "no target takes calls"
        if wait_ms:
            outcome = "wait"
            detail = f"all targets have the calls that they take, for {wait_ms} ms"
    parts = () if chosen is None else (PartRow(chosen.id, chosen.domain),)
    return ServiceRow(
        service=service,
        weight=weight,
        outcome=outcome,
        detail=detail,
        parts=parts,
        cost=None if chosen is None else calls.usage(chosen),
        retries_left=context.budget.left(service, context.vm_count()),
        begun_retries_left=context.budget.left(
            service, context.vm_count(), has_begun=True
        ),
        waiting=calls.waiting(service),
        targets=targets,
    )

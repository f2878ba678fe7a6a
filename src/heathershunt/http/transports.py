"""Settings of asyncio transports."""

import asyncio

RECEIVE_BYTES = 16_384


def limit_reads(transport: asyncio.Transport) -> None:
    """Make the transport receive at most :data:`RECEIVE_BYTES` at a time.

    The selector transport allocates its ``max_size`` of 256 KB for each receive call;
    allocations of that size go to the operating system and cost more than the call.

    .. versionadded:: 0.1
    """
    if hasattr(transport, "max_size"):
        transport.max_size = RECEIVE_BYTES

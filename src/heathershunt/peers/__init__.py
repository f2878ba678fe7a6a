"""Links between daemons: messages, records, the mesh, forwarded requests."""

from heathershunt.peers.forward import (
    Forwarder,
    ForwardError,
    ForwardReply,
    ForwardRequest,
    ReplyStream,
)
from heathershunt.peers.link import LinkClosedError, PeerLink
from heathershunt.peers.mesh import MeshLimits, MeshTls, PeerMesh
from heathershunt.peers.messages import (
    Demand,
    Forward,
    ForwardChunk,
    ForwardEnd,
    Heartbeat,
    Hello,
    MessageError,
    PartReply,
    PartRequest,
    Records,
    RootReply,
    RootRequest,
    decode_message,
    encode_message,
)
from heathershunt.peers.record import Suspicion, VmRecord, VmState, merge_records
from heathershunt.peers.topology import choose_neighbours

__all__ = [
    "Demand",
    "Forward",
    "ForwardChunk",
    "ForwardEnd",
    "ForwardError",
    "ForwardReply",
    "ForwardRequest",
    "Forwarder",
    "Heartbeat",
    "Hello",
    "LinkClosedError",
    "MeshLimits",
    "MeshTls",
    "MessageError",
    "PartReply",
    "PartRequest",
    "PeerLink",
    "PeerMesh",
    "Records",
    "ReplyStream",
    "RootReply",
    "RootRequest",
    "Suspicion",
    "VmRecord",
    "VmState",
    "choose_neighbours",
    "decode_message",
    "encode_message",
    "merge_records",
]

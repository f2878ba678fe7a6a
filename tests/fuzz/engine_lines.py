"""Strategies for malformed replies of an engine, as scripts for one run."""

import json

from hypothesis import strategies as st

from tests.fuzz.hostile import RAW_REPLIES, deep_json, json_values
from tests.fuzz.rig import LAYERS, Reply, honest_status, http_reply

OVERSIZE_LINE = b"x" * 3_000_000

# Each entry replaces fields of a valid token line; the router must not accept the line.
WRONG_TOKEN_FIELDS = [
    {"position": 5},
    {"position": -1},
    {"position": 10**30},
    {"position": "0"},
    {"epoch": 0},
    {"epoch": 99},
    {"epoch": None},
    {"trace": []},
    {"trace": None},
    {"trace": "x"},
    {"trace": {"a": 1}},
    {"trace": [[]]},
    {"trace": [["other", 0, LAYERS, "v1"]]},
    {"trace": [[["list"], 0, LAYERS, "v1"]]},
    {"trace": [["h", 0, LAYERS - 1, "v1"]]},
    {"text": None},
    {"text": 1},
    {"last": "yes"},
    {"event": 7},
    {"event": "?"},
]
lines = st.one_of(
    st.sampled_from(WRONG_TOKEN_FIELDS).map(lambda change: ("token", change)),
    st.sampled_from([b"", b"{", b"\xff", b'"\\ud800"', OVERSIZE_LINE]).map(
        lambda raw: ("raw", raw)
    ),
    json_values.map(lambda raw: ("raw", raw)),
    st.sampled_from([b'{"event":"end"}', b'{"event":"end","reason":"done"}']).map(
        lambda raw: ("raw", raw)
    ),
)
WRONG_OPENED_FIELDS = [
    {"runner": "x"},
    {"first_layer": 1},
    {"end_layer": "x"},
    {"event": "end"},
]
WRONG_OPENED_FIELDS += [
    {"version": None},
    {"kv_positions": 10**30},
    {"kv_positions": -5},
]
probes = st.sampled_from(
    [b"[]", b"null", b"1", b'{"position":"x"}', b'{"position":null}', b"{", b"{}"]
    + [b'{"position":[1]}', b'{"position":1e400}', b"\xff", b'{"position":-1}']
)
scripts = st.fixed_dictionaries(
    {
        "open": st.one_of(
            st.just({}), st.just({}), st.just({}), st.sampled_from(WRONG_OPENED_FIELDS)
        ),
        "raw": st.one_of(st.none(), st.none(), st.sampled_from(RAW_REPLIES)),
        "lines": st.lists(lines, max_size=3),
        "start": st.sampled_from([b"{}", b"{}", b"", b"[", b"[]"]),
        "probe": st.one_of(probes, deep_json),
        "hold": st.booleans(),
    }
)


def script_reply(model: str, script: dict) -> Reply:
    """Return the replies of an engine that follows ``script`` in every run."""

    def reply_to_run(head: bytes, body: bytes) -> bytes:
        if head.startswith(b"GET /v1/runs/"):
            return http_reply(script["probe"])
        if b"/start " in head:
            return http_reply(script["start"])
        if not head.startswith(b"POST /v1/runs "):
            return http_reply(b"{}")
        if script["raw"] is not None:
            return script["raw"]
        return _stream(model, json.loads(body)["epoch"], script)

    return honest_status(model, reply_to_run)


def _stream(model: str, epoch: int, script: dict) -> bytes:
    opened = {"event": "opened", "runner": model, "first_layer": 0}
    opened |= {"end_layer": LAYERS, "version": "v1", "kv_positions": 0}
    token = {"event": "token", "epoch": epoch, "position": 0, "text": "HOSTILE"}
    token |= {"trace": [[model, 0, LAYERS, "v1"]], "last": True}
    stream_lines = [json.dumps(opened | script["open"]).encode()]
    for kind, value in script["lines"]:
        stream_lines.append(
            json.dumps(token | value).encode() if kind == "token" else value
        )
    reply = http_reply(b"\n".join(stream_lines) + b"\n", chunked=True)
    # Without its last chunk the stream stays open until the router closes it.
    return reply.removesuffix(b"0\r\n\r\n") if script["hold"] else reply

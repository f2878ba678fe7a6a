import asyncio

import msgspec
import pytest
from result import Ok

from heathershunt.clock import GapEstimator, Millis, SystemClock
from heathershunt.drafts.draft import Draft, DraftRequest
from heathershunt.drafts.engine import ProbeFailure, RunSpec, StageLine
from heathershunt.drafts.epoch import Epoch
from heathershunt.drafts.progress import ProgressMonitor
from heathershunt.routing import Chain, Stage

STAGES = (
    Stage("r0", "127.0.0.1:1", "127.0.0.1:2", 0, 6),
    Stage("r1", "127.0.0.1:3", "127.0.0.1:4", 6, 12),
)
TRACE = '[["r0",0,6,"v1"],["r1",6,12,"v1"]]'
REQUEST = DraftRequest("parish", "m", "v1", "", 12, "prompt", 2, 0, 1, Millis(0))


def token(position, epoch=1, trace=TRACE, last=False):
    text = (
        f'{{"event":"token","epoch":{epoch},"position":{position},"text":"t",'
        f'"trace":{trace},"last":{str(last).lower()}}}'
    )
    return msgspec.json.decode(text, type=StageLine)


class ScriptedStream:
    """Stream of one stage that returns the scripted lines and then stays open."""

    def __init__(self, stage, lines):
        self.stage = stage
        self._lines = list(lines)

    async def read_lines(self):
        if self._lines:
            return [self._lines.pop(0)]
        await asyncio.Event().wait()

    def close(self):
        pass


class ScriptedEngine:
    """Engine whose last stage emits the given tokens."""

    def __init__(self, tokens):
        self._tokens = tokens

    async def open(self, spec, index):
        stage = STAGES[index]
        opened = StageLine(
            "opened",
            runner=stage.runner,
            first_layer=stage.first_layer,
            end_layer=stage.end_layer,
            version="v1",
        )
        lines = self._tokens if index == len(STAGES) - 1 else []
        return Ok((ScriptedStream(stage, lines), [opened]))

    async def start(self, spec, cached_positions):
        return Ok(None)


async def run_epoch(tokens):
    chain = Chain(1, "m", "v1", None, STAGES)
    spec = RunSpec("run", 1, chain, "prompt", (), 0, 2, 0, 1, 0)
    draft = Draft("vm1.1.1", REQUEST, Millis(0))
    clock = SystemClock()
    epoch = Epoch(
        draft,
        spec,
        ScriptedEngine(tokens),
        ProgressMonitor(clock),
        GapEstimator(250, 34),
        clock,
    )
    async with asyncio.timeout(5):
        return draft, await epoch.run()


async def test_tokens_of_the_epoch_complete_the_answer():
    draft, outcome = await run_epoch([token(0), token(1, last=True)])
    assert isinstance(outcome, Ok)
    assert draft.is_complete


@pytest.mark.parametrize(
    ("trace", "suspect"),
    [
        ('[["r0",0,6,"v1"],["r1",6,12,"v2"]]', "r1"),
        ('[["r0",0,6,"v1"],["r1",5,12,"v1"]]', "r1"),
        ('[["r9",0,6,"v1"],["r1",6,12,"v1"]]', "r0"),
        ('[["r0",0,6,"v1"]]', "r1"),
        ("[]", "r1"),
    ],
)
async def test_token_with_unexpected_trace_is_rejected(trace, suspect):
    """A token that skipped or repeated layers, or ran another version, is wrong."""
    draft, outcome = await run_epoch([token(0), token(1, trace=trace, last=True)])
    assert draft.tokens == ["t"]
    assert suspect in outcome.err_value.suspects


async def test_token_of_an_old_epoch_is_ignored():
    """A stage that resumes after a pause may still emit tokens of an earlier epoch."""
    tokens = [token(0), token(1, epoch=0, last=True), token(1, last=True)]
    draft, outcome = await run_epoch(tokens)
    assert isinstance(outcome, Ok)
    assert draft.tokens == ["t", "t"]


async def test_skipped_position_fails_the_epoch():
    """A gap in the positions means that a token was lost."""
    draft, outcome = await run_epoch([token(0), token(2, last=True)])
    assert not draft.is_complete
    assert "too early" in outcome.err_value.detail


class PacedStream(ScriptedStream):
    """Stream that returns one line after each pause, and then repeats the last one."""

    def __init__(self, stage, lines, pause_s):
        super().__init__(stage, lines)
        self._pause_s = pause_s

    async def read_lines(self):
        await asyncio.sleep(self._pause_s)
        return [self._lines.pop(0) if len(self._lines) > 1 else self._lines[0]]


class PacedEngine(ScriptedEngine):
    """Engine whose last stage emits lines with pauses and whose stages answer probes.

    :param pause_s: pause before each line, in seconds.
    :param position: answer to every probe.
    """

    def __init__(self, lines, pause_s, position):
        super().__init__(lines)
        self._pause_s = pause_s
        self._position = position

    async def open(self, spec, index):
        stream, opened = (await super().open(spec, index)).ok_value
        if index == len(STAGES) - 1:
            stream = PacedStream(stream.stage, self._tokens, self._pause_s)
        return Ok((stream, opened))

    def close_idle_connections(self, stage):
        pass

    async def probe(self, stage, run, timeout_ms):
        return self._position


async def run_paced(engine, floor_ms, on_silence=lambda runners: True):
    chain = Chain(1, "m", "v1", None, STAGES)
    spec = RunSpec("run", 1, chain, "prompt", (), 0, 2, 0, 1, 0)
    draft = Draft("vm1.1.1", REQUEST, Millis(0))
    clock = SystemClock()
    monitor = ProgressMonitor(clock)
    monitoring = asyncio.create_task(monitor.run())
    estimator = GapEstimator(floor_ms, 34)
    epoch = Epoch(draft, spec, engine, monitor, estimator, clock, on_silence=on_silence)
    try:
        async with asyncio.timeout(10):
            return draft, await epoch.run()
    finally:
        monitoring.cancel()


@pytest.mark.parametrize("line", [token(0), StageLine("alive"), token(0, epoch=0)])
async def test_stalled_stage_that_keeps_sending_lines_fails_the_epoch(line):
    # Guards against a draft that never ends because repeated tokens, tokens of an old
    # epoch or other lines extend the deadline; only the next token may.
    engine = PacedEngine([token(0), line], pause_s=0.01, position=0)
    draft, outcome = await run_paced(engine, floor_ms=100)
    assert draft.tokens == ["t"]
    assert outcome.is_err()


async def test_slow_stage_that_makes_progress_is_not_failed():
    # Guards against healthy drafts that are run again because their stages are slow.
    engine = PacedEngine([token(0), token(1, last=True)], pause_s=0.25, position=1)
    engine.probe = _advancing_probe()
    draft, outcome = await run_paced(engine, floor_ms=100)
    assert outcome.is_ok()
    assert draft.is_complete


def _advancing_probe():
    """Return a probe whose answer is one position higher each time."""
    steps = iter(range(-1000, 0))

    async def probe(stage, run, timeout_ms):
        return next(steps)

    return probe


class FailingProbes(PacedEngine):
    """Engine whose stages are asked for their position in vain: the probe raises."""

    async def probe(self, stage, run, timeout_ms):
        raise KeyError("probe")


# Guards against drafts that never end: after an error in the task that probes the
# stages, no further deadline is set.
async def test_error_in_the_probes_fails_the_epoch():
    engine = FailingProbes([token(0), token(0)], pause_s=0.01, position=0)
    draft, outcome = await run_paced(engine, floor_ms=100)
    assert not draft.is_complete
    assert not outcome.err_value.suspects
    assert not outcome.err_value.is_confirmed


@pytest.mark.parametrize("depth", [400, 900, 2000])
async def test_deeply_nested_trace_fails_the_epoch(depth):
    # Guards against an epoch that no error ends: the decoder's ended its reader.
    trace = "[" * depth + "]" * depth
    try:
        line = token(0, trace=trace)
    except RecursionError:
        return
    async with asyncio.timeout(2):
        _, outcome = await run_epoch([line])
    assert outcome.is_err()


TOO_FAR = token(5)
NO_POSITION = StageLine("token", 1, trace=msgspec.Raw(TRACE.encode()), text="error")
NO_TRACE = StageLine("token", 1, 0, "error", last=True)
ERROR = StageLine("error", reason="the engine has failed")
END = StageLine("end", 1, reason="failed")


@pytest.mark.parametrize(
    "lines",
    [
        [TOO_FAR],
        [NO_POSITION, TOO_FAR],
        [NO_TRACE],
        [ERROR, END],
        [END],
        [StageLine("end", 1, reason="done")],
        [token(0, epoch=0, last=True), END],
    ],
)
async def test_lines_that_do_not_go_on_with_a_draft_are_no_part_of_it(lines):
    # Guards against an error's text in a caller's draft, against tokens that are
    # missing, and against a draft that ends as if it were complete.
    draft, outcome = await run_epoch(lines)
    assert draft.tokens == []
    assert not draft.is_complete
    assert outcome.is_err()


async def test_stage_that_starts_over_repeats_no_token():
    # Guards against tokens that come twice after a draft has moved to another chain.
    lines = [token(0), token(0), token(0), token(1, last=True)]
    draft, _ = await run_epoch(lines)
    assert draft.tokens == ["t", "t"]
    assert draft.is_complete


# Guards against runs that are dropped because a sound stage gave no sign for a second,
# where no other chain can take over; a stage that has lost the run is not waited for.
@pytest.mark.parametrize(
    ("failure", "has_other_chain", "goes_on"),
    [
        (ProbeFailure.SILENT, False, True),
        (ProbeFailure.SILENT, True, False),
        (ProbeFailure.NO_RUN, False, False),
    ],
)
async def test_run_of_a_silent_stage_is_kept_without_another_chain(
    failure, has_other_chain, goes_on
):
    engine = PacedEngine([token(0), token(1, last=True)], 1.2, position=failure)
    asked = []

    def on_silence(runners):
        asked.append(runners)
        return has_other_chain

    draft, outcome = await run_paced(engine, 100, on_silence)
    assert draft.is_complete is goes_on
    assert outcome.is_ok() is goes_on
    assert asked[0] == {"r0", "r1"}


# Guards against drafts that wait for ever for a stage that stays silent.
async def test_stage_that_stays_silent_fails_the_epoch(monkeypatch):
    monkeypatch.setattr("heathershunt.drafts.epoch.SILENCE_LIMIT_MS", 500)
    engine = PacedEngine([token(0), token(0)], 0.01, position=ProbeFailure.SILENT)
    _, outcome = await run_paced(engine, 100, lambda runners: False)
    assert outcome.err_value.suspects == {"r0", "r1"}

"""Bounded types for fields that other processes write.

The bounds are far beyond any real value. What is outside is malformed: a number too
large for a float breaks sums and divisions, one of more than 64 bits cannot be sent to
other VMs, and NaN compares as neither less nor greater.
"""

from typing import Annotated

from msgspec import Meta

# Whole numbers up to this one are exact in JSON.
MAX_WHOLE = 2**53
MAX_TEXT_CHARACTERS = 255
MAX_LAYERS = 100_000
MAX_COUNT = 10**9
# Lowest priority that targets are told.
MAX_RANK = 9

Whole = Annotated[int, Meta(ge=0, le=MAX_WHOLE)]
PositiveWhole = Annotated[int, Meta(ge=1, le=MAX_WHOLE)]
# Position in a sequence; -1 before the first one.
Position = Annotated[int, Meta(ge=-1, le=MAX_WHOLE)]
SignedWhole = Annotated[int, Meta(ge=-MAX_WHOLE, le=MAX_WHOLE)]
# Requests or tokens that a process has at a time.
Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
# Priority of a request; 0 is the highest.
Rank = Annotated[int, Meta(ge=0, le=MAX_RANK)]
# Number of a layer, or of the layer after the last one.
Layer = Annotated[int, Meta(ge=0, le=MAX_LAYERS)]
# Version of a model's weights.
Version = Annotated[int, Meta(ge=0, le=MAX_WHOLE)]
Amount = Annotated[float, Meta(ge=0, le=1e15)]
PositiveAmount = Annotated[float, Meta(ge=1e-9, le=1e15)]
SignedAmount = Annotated[float, Meta(ge=-1e15, le=1e15)]
# A time as a multiple of the usual time.
Factor = Annotated[float, Meta(ge=0, le=1e6)]
Milliseconds = Annotated[float, Meta(ge=0, le=1e10)]
# Time limit that is not over at once.
TimeLimit = Annotated[float, Meta(ge=1, le=1e10)]
# Age of a statement in milliseconds; clocks of two VMs may differ.
Age = SignedWhole
# Text that is only compared and logged.
Text = Annotated[str, Meta(max_length=MAX_TEXT_CHARACTERS)]
# The same without control characters.
PlainText = Annotated[
    str, Meta(max_length=MAX_TEXT_CHARACTERS, pattern=r"\A[^\x00-\x1f\x7f]*\Z")
]
LongText = Annotated[str, Meta(max_length=4096)]
# Plain text that is not empty.
Label = Annotated[
    str,
    Meta(
        min_length=1,
        max_length=MAX_TEXT_CHARACTERS,
        pattern=r"\A[^\x00-\x1f\x7f]+\Z",
    ),
]
# The same in characters that a header field may hold, as Latin-1.
HeaderText = Annotated[
    str,
    Meta(
        min_length=1,
        max_length=MAX_TEXT_CHARACTERS,
        pattern=r"\A[!-~\xa1-\xff]([ -~\xa0-\xff]*[!-~\xa1-\xff])?\Z",
    ),
]
# Name that is also written into header fields and paths: visible ASCII characters.
Name = Annotated[
    str, Meta(min_length=1, max_length=MAX_TEXT_CHARACTERS, pattern=r"\A[!-~]+\Z")
]

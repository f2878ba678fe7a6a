"""Targets that said in their answers that they leave, or that they want a pause."""

from heathershunt.availability.notice import (
    DAEMON_FIELDS,
    Notice,
    NoticeFields,
    decode_notice,
)
from heathershunt.availability.table import AvailabilityTable

__all__ = [
    "DAEMON_FIELDS",
    "AvailabilityTable",
    "Notice",
    "NoticeFields",
    "decode_notice",
]

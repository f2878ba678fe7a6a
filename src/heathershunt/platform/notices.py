"""Notices in the answers of the platform's targets."""

from heathershunt.availability import Notice, NoticeFields, decode_notice
from heathershunt.http import ClientResponse
from heathershunt.platform import names

NOTICE_FIELDS = NoticeFields(names.LEAVING, names.RETRY_AFTER, names.TARGET_ID)


def notice_of(response: ClientResponse) -> Notice:
    """Return what the head of an answer says of its target."""
    return decode_notice(response.status, response.fields, NOTICE_FIELDS)

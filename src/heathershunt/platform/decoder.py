"""The gateway's decoder interface for the formats of the platform."""

from heathershunt.catalog import Catalog
from heathershunt.discovery import Target
from heathershunt.http import Request
from heathershunt.platform import names
from heathershunt.platform.configuration import decode_configuration
from heathershunt.platform.headers import HeaderCodec
from heathershunt.platform.targets import decode_target
from heathershunt.relay import CallerRequest


class PlatformDecoder:
    """Decodes configurations, entries of targets and requests of callers.

    .. versionadded:: 0.2
    """

    configuration_key = names.CONFIGURATION_KEY
    target_prefix = names.TARGET_PREFIX
    ready_path = names.READY_PATH
    resolve_path = names.RESOLVE_PATH

    def __init__(self, codec: HeaderCodec) -> None:
        self._codec = codec

    def configuration(self, raw: bytes) -> Catalog:
        """Decode a configuration; raise ``ValueError`` if it is malformed."""
        return decode_configuration(raw)

    def target(self, target_id: str, raw: bytes) -> Target:
        """Decode a target's entry; raise ``ValueError`` if it is malformed."""
        return decode_target(target_id, raw)

    def request_id(self, request: Request) -> str:
        """Return the id of a caller's request; empty without one."""
        return request.headers.get(names.REQUEST_ID.decode(), "")

    def request(self, request: Request) -> CallerRequest:
        """Decode a caller's request; raise ``ValueError`` if it is malformed."""
        return self._codec.caller_request(request)

    def caller_domain(self, request: Request) -> str:
        """Return the failure domain of a caller that requests addresses."""
        return request.query.get(names.CALLER_DOMAIN, "")

"""Interfaces that a platform's adapter implements."""

from dataclasses import dataclass
from typing import Protocol

from heathershunt.catalog import Catalog
from heathershunt.coordination import Store
from heathershunt.discovery import Target
from heathershunt.http import Request
from heathershunt.pipelines import RunnerApi
from heathershunt.relay import CallerRequest, TargetWire


class Decoder(Protocol):
    """Decodes the platform's entries in the store and callers' requests.

    .. versionadded:: 0.2
    """

    configuration_key: str
    target_prefix: str
    ready_path: str
    resolve_path: str

    def configuration(self, raw: bytes) -> Catalog:
        """Decode a configuration; raise ``ValueError`` if it is malformed."""

    def target(self, target_id: str, raw: bytes) -> Target:
        """Decode a target's entry; raise ``ValueError`` if it is malformed."""

    def request_id(self, request: Request) -> str:
        """Return the id of a caller's request; empty without one."""

    def request(self, request: Request) -> CallerRequest:
        """Decode a caller's request; raise ``ValueError`` if it is malformed."""

    def caller_domain(self, request: Request) -> str:
        """Return the failure domain of the caller in a directory query."""


@dataclass(frozen=True)
class Ports:
    """The implementations that a platform's adapter provides.

    .. versionadded:: 0.2
    """

    store: Store
    runners: RunnerApi
    wire: TargetWire
    decoder: Decoder

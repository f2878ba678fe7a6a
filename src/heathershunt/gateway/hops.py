"""Parts of one gateway that watch its links and forward requests to other VMs."""

from heathershunt.availability import AvailabilityTable
from heathershunt.clock import Clock, Millis
from heathershunt.forwarding import Forwarder, HopChooser, LinkWatch
from heathershunt.gateway.config import GatewayConfig
from heathershunt.gateway.state import SiteState
from heathershunt.http import HttpClient
from heathershunt.logs import EventLog
from heathershunt.relay import Endings, RelayContext, SuspectList


class GatewayHops:
    """Watches the links of a gateway, and tells the parts that judge targets by them.

    :ivar links: links of this VM to the targets.
    :ivar endings: tells which targets have ended.

    .. versionadded:: 0.10
    """

    def __init__(
        self,
        config: GatewayConfig,
        clock: Clock,
        http: HttpClient,
        state: SiteState,
        suspects: SuspectList,
        availability: AvailabilityTable,
        events: EventLog,
    ) -> None:
        self._vm = config.vm
        self._suspects = suspects
        self._registry = registry = state.registry
        self._chooser = HopChooser(
            clock, config.vm, config.domain, state.members.members
        )
        self.links = LinkWatch(
            clock,
            http,
            registry,
            events.emit,
            self._on_cut,
            lambda: self._chooser.has_others,
        )
        self.endings = Endings(registry, http, availability, clock)
        suspects.links = self.endings.links = self.links

    def forwarder(self, context: RelayContext) -> Forwarder:
        """Return the part that gives requests to other VMs."""
        return Forwarder(context, self._vm, self._chooser)

    def _on_cut(self, since: Millis) -> None:
        """Drop what failures since a time seemed to say about targets."""
        self._suspects.discard_since(since)
        self._registry.forget_refusals(since)

"""Dependencies that the relays share."""

from collections.abc import Callable
from dataclasses import dataclass

from heathershunt.availability import AvailabilityTable
from heathershunt.clock import Clock
from heathershunt.crashes import PartGuard
from heathershunt.discovery import TargetRegistry
from heathershunt.http import HttpClient
from heathershunt.logs import EventLog
from heathershunt.pipelines import ChainChooser, LoadLedger, RunnerApi
from heathershunt.ratelimits import LimitGuard
from heathershunt.relay.budget import RetryBudget
from heathershunt.relay.diagnosis import Diagnosis
from heathershunt.relay.endings import Endings
from heathershunt.relay.links import SOUND_LINKS, LinkState
from heathershunt.relay.messages import TargetWire
from heathershunt.relay.suspects import SuspectList


@dataclass(frozen=True)
class RelayContext:
    """Dependencies of the relays.

    :param guard: refuses prompts that crash runners.
    :param limits: keeps to the limits that targets name.
    :param availability: targets that leave or pause by what their answers said.
    :param vm_count: returns the number of VMs that share the targets.
    :param domain: failure domain of this VM.
    :param links: links of this VM to the targets.

    .. versionadded:: 0.2
    """

    clock: Clock
    http: HttpClient
    wire: TargetWire
    registry: TargetRegistry
    suspects: SuspectList
    budget: RetryBudget
    ledger: LoadLedger
    chooser: ChainChooser
    runners: RunnerApi
    diagnosis: Diagnosis
    endings: Endings
    events: EventLog
    guard: PartGuard
    limits: LimitGuard
    availability: AvailabilityTable
    vm_count: Callable[[], int]
    domain: str
    links: LinkState = SOUND_LINKS

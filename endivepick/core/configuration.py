"""Receipt of configuration at one instance, and how changes are applied."""

from collections.abc import Callable

from endivepick.core.actions import (
    Action,
    Log,
    SendToPeer,
    StopPlatformWatch,
    WatchPlatform,
)
from endivepick.core.catalog import Catalog
from endivepick.core.relay import Relay
from endivepick.core.roles import ServiceRoles
from endivepick.core.stop_request_filter import StopRequestFilter
from endivepick.membership import Membership
from endivepick.records.cache import Change, RecordCache
from endivepick.records.dissemination import Dissemination
from endivepick.records.events import (
    ConfigurationReady,
    DisseminationEvent,
    MembersChanged,
    RecordsChanged,
    RefusedChanged,
    StartWatch,
    StopWatch,
    Tick,
)
from endivepick.records.objects import INSTANCE_KIND
from endivepick.records.peer_messages import RefusedRecord
from endivepick.records.settings import DisseminationSettings

__all__ = ["Configuration"]

UPDATE_INTERVAL_PER_MEMBER_S = 250e-6
"""Minimum time between two updates of the member list, in seconds per member.

With 8,000 members an update takes about 15 ms and runs at most every 2 s.
"""


class Configuration:
    """Drives record dissemination and applies the changes that it delivers.

    Parameters
    ----------
    settings : DisseminationSettings
        Settings of record dissemination.
    name, zone : str
        Name and availability zone of this instance.
    incarnation : int
        Random number that identifies this process.
    membership : Membership
        Members that records are exchanged with.
    catalog : Catalog
        Records and keys in force.
    relay : Relay
        Selects owners by the zones of a record's targets.
    roles : ServiceRoles
        Services whose records may change.
    stop : callable
        Called with the current time to begin a planned stop; returns actions.

    Attributes
    ----------
    cache : RecordCache
        Newest known version of each object.
    dissemination : Dissemination
        Decides which instances watch the platform and which peers exchange
        records.
    members_dirty : bool
        Whether the membership view has changed since dissemination last
        received it.
    """

    def __init__(
        self,
        settings: DisseminationSettings,
        name: str,
        zone: str,
        incarnation: int,
        membership: Membership,
        catalog: Catalog,
        relay: Relay,
        roles: ServiceRoles,
        stop: Callable[[float], list[Action]],
    ) -> None:
        self._name = name
        self._membership = membership
        self._catalog = catalog
        self._relay = relay
        self._roles = roles
        self._stop = stop
        self._stop_requests = StopRequestFilter(name)
        self.cache = RecordCache()
        self.dissemination = Dissemination(
            settings, name, zone, self.cache, incarnation
        )
        self.members_dirty = True
        self._next_member_update_s = float("-inf")
        self._refused: tuple[RefusedRecord, ...] = ()

    @property
    def not_ready_reason(self) -> str:
        """Reason why this instance cannot serve yet; empty if it can."""
        if not self.dissemination.ready:
            return "no configuration as new as the peers' yet"
        if self._catalog.keys.keyring is None:
            return "no keyring yet"
        return ""

    def handle(self, event: DisseminationEvent, now_s: float) -> list[Action]:
        """Process an event and carry out the decisions of record dissemination."""
        actions: list[Action] = []
        for decision in self.dissemination.handle(event, now_s):
            match decision:
                case SendToPeer():
                    actions.append(decision)
                case StartWatch(after=after):
                    actions.append(WatchPlatform(after))
                case StopWatch():
                    actions.append(StopPlatformWatch())
                case RecordsChanged(changes=changes):
                    actions += self._apply_changes(changes, now_s)
                case ConfigurationReady(revision=revision):
                    self._stop_requests.set_baseline(
                        self.cache.get(INSTANCE_KIND, self._name)
                    )
                    text = "configuration is as new as any reachable source's"
                    ids = {"revision": revision}
                    actions.append(Log("records", "configuration_ready", text, ids))
        return actions

    def _apply_changes(self, changes: tuple[Change, ...], now_s: float) -> list[Action]:
        changed, actions = self._catalog.apply(changes)
        for service in changed:
            self._relay.record_changed(service)
            actions += self._roles.record_changed(service, now_s)
        actions += self._roles.records_changed(changed, now_s)
        refused = self._catalog.service_records.refused
        if refused != self._refused:
            self._refused = refused
            actions += self.handle(RefusedChanged(refused), now_s)
        if any(self._stop_requests.is_stop_request(change) for change in changes):
            text = "operator requested a planned stop"
            actions.append(Log("instance", "stop_asked", text))
            actions += self._stop(now_s)
        return actions

    def tick(self, random_share: float, now_s: float) -> list[Action]:
        """Pass membership changes and the time to record dissemination.

        Parameters
        ----------
        random_share : float
            Random number from 0 to 1.
        now_s : float
            Current time, in seconds.
        """
        actions: list[Action] = []
        if self.members_dirty and now_s >= self._next_member_update_s:
            self.members_dirty = False
            count = len(self._membership.view())
            self._next_member_update_s = now_s + UPDATE_INTERVAL_PER_MEMBER_S * count
            actions += self._update_members(now_s)
        return actions + self.handle(Tick(random_share), now_s)

    def _update_members(self, now_s: float) -> list[Action]:
        view = self._membership.view()
        peers = tuple(view[name] for name in sorted(view) if name != self._name)
        own_state = view[self._name].state
        return self.handle(MembersChanged(peers, own_state), now_s)

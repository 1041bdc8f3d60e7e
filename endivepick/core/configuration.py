"""Configuration at one instance: how it arrives and what it changes here."""

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
from endivepick.core.stop_request_filter import StopWish
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

MEMBERS_WAIT_S = 250e-6
"""Least time between two looks at all members, for each of them: at 8,000 two
seconds, for what takes some 15 ms."""


class Configuration:
    """Lets the spreading of records decide, and brings changes into force.

    Parameters
    ----------
    settings : DisseminationSettings
        How records spread.
    name, zone : str
        Name and availability zone of this instance.
    incarnation : int
        Random number of this process.
    membership : Membership
        Whom records can spread to.
    catalog : Catalog
        Records and keys in force.
    relay : Relay
        Chooses owners by the zones of a record's targets.
    roles : ServiceRoles
        Services that a change may concern.
    stop : callable
        Called with the time to begin the planned stop; returns actions.

    Attributes
    ----------
    cache : RecordCache
        Newest version seen of each object.
    dissemination : Dissemination
        Decides who watches the platform and who tells whom.
    members_dirty : bool
        The view of the instances changed since the last tick.
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
        self._wish = StopWish(name)
        self.cache = RecordCache()
        self.dissemination = Dissemination(
            settings, name, zone, self.cache, incarnation
        )
        self.members_dirty = True
        self._next_members_s = float("-inf")
        self._refused: tuple[RefusedRecord, ...] = ()

    @property
    def not_ready_reason(self) -> str:
        """What keeps this instance from serving, empty if nothing does."""
        if not self.dissemination.ready:
            return "no configuration as new as the peers' yet"
        if self._catalog.keys.keyring is None:
            return "no keyring yet"
        return ""

    def handle(self, event: DisseminationEvent, now_s: float) -> list[Action]:
        """Take an event and act on what the spreading of records decides."""
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
                    actions += self._bring_into_force(changes, now_s)
                case ConfigurationReady(revision=revision):
                    self._wish.set_known(self.cache.get(INSTANCE_KIND, self._name))
                    text = "configuration is as new as any reachable source's"
                    ids = {"revision": revision}
                    actions.append(Log("records", "configuration_ready", text, ids))
        return actions

    def _bring_into_force(
        self, changes: tuple[Change, ...], now_s: float
    ) -> list[Action]:
        changed, actions = self._catalog.apply(changes)
        for service in changed:
            self._relay.record_changed(service)
            actions += self._roles.record_changed(service, now_s)
        actions += self._roles.records_changed(changed, now_s)
        refused = self._catalog.service_records.refused
        if refused != self._refused:
            self._refused = refused
            actions += self.handle(RefusedChanged(refused), now_s)
        if any(self._wish.is_new(change) for change in changes):
            text = "an operator asks for the planned stop"
            actions.append(Log("instance", "stop_asked", text))
            actions += self._stop(now_s)
        return actions

    def tick(self, random_share: float, now_s: float) -> list[Action]:
        """Tell the spreading of records about members and time.

        Parameters
        ----------
        random_share : float
            Random number from 0 to 1.
        now_s : float
            Present time, in seconds.
        """
        actions: list[Action] = []
        if self.members_dirty and now_s >= self._next_members_s:
            self.members_dirty = False
            count = len(self._membership.view())
            self._next_members_s = now_s + MEMBERS_WAIT_S * count
            actions += self._members_changed(now_s)
        return actions + self.handle(Tick(random_share), now_s)

    def _members_changed(self, now_s: float) -> list[Action]:
        view = self._membership.view()
        peers = tuple(view[name] for name in sorted(view) if name != self._name)
        own_state = view[self._name].state
        return self.handle(MembersChanged(peers, own_state), now_s)

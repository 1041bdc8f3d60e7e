"""Carries out what the decision core asks for."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from endivepick.core.actions import (
    Action,
    CallPlatform,
    CancelAttempt,
    Count,
    Log,
    Observe,
    Probe,
    ReadinessChange,
    SendToAddress,
    SendToCaller,
    SendToPeer,
    StartAttempt,
    StopFinished,
    StopPlatformWatch,
    WatchPlatform,
)
from endivepick.core.events import PeerSendFailed
from endivepick.core.instance import InstanceCore
from endivepick.daemon.fabric import FabricTask
from endivepick.daemon.http import HttpTask, ReadinessChanged
from endivepick.daemon.logs import PartLog
from endivepick.daemon.metrics import DaemonMetrics
from endivepick.daemon.peers import PeerTask
from endivepick.daemon.platform import PlatformTask
from endivepick.daemon.probes import ProbeTasks
from endivepick.daemon.targets import TargetTasks

__all__ = ["Performer", "PerformerTasks"]

_DEBUG_EVENTS = frozenset(
    {
        "request_accepted",
        "holder_suspected",
        "attempt_started",
        "request_answered",
        "transfer_sent",
    }
)


@dataclass(frozen=True)
class PerformerTasks:
    """Tasks that own the sockets."""

    fabric: FabricTask
    peers: PeerTask
    targets: TargetTasks
    probes: ProbeTasks
    http: HttpTask
    platform: PlatformTask


class Performer:
    """Hands each action to the task that carries it out.

    Parameters
    ----------
    core : InstanceCore
        Knows the addresses of the peers.
    tasks : PerformerTasks
        Tasks that own the sockets.
    metrics : DaemonMetrics
        Counters.
    deliver : callable
        Takes events that follow from a failed action.
    """

    def __init__(
        self,
        core: InstanceCore,
        tasks: PerformerTasks,
        metrics: DaemonMetrics,
        deliver: Callable[[PeerSendFailed], None],
    ) -> None:
        self._core = core
        self._tasks = tasks
        self._metrics = metrics
        self._deliver = deliver
        self._logs: dict[str, PartLog] = {}
        self.finished: StopFinished | None = None

    def perform(self, actions: Iterable[Action]) -> None:
        """Carry out actions in their order."""
        for action in actions:
            self._perform_one(action)

    def _perform_one(self, action: Action) -> None:
        match action:
            case SendToCaller(caller=caller, packet=packet):
                self._tasks.fabric.send(caller, packet)
            case SendToPeer():
                self._send_to_peer(action)
            case SendToAddress(peer_address=peer_address, message=message):
                self._tasks.peers.send_to_address(peer_address, message)
            case StartAttempt():
                self._tasks.targets.start(action)
            case CancelAttempt():
                self._tasks.targets.cancel(action)
            case Probe():
                self._tasks.probes.probe(action)
            case Count(name=name, label=label, amount=amount):
                self._metrics.count(name, label, amount)
            case Observe(name=name, label=label, value=value):
                self._metrics.observe(name, label, value)
            case Log():
                self._log(action)
            case ReadinessChange(ready=ready, reason=reason):
                self._tasks.http.inbox.put(ReadinessChanged(ready, reason))
            case WatchPlatform(after=after):
                self._tasks.platform.watch(after)
            case CallPlatform(purpose=purpose, call=call):
                self._tasks.platform.call(purpose, call)
            case StopPlatformWatch():
                self._tasks.platform.stop_watching()
            case StopFinished():
                self.finished = action

    def _send_to_peer(self, action: SendToPeer) -> None:
        view = self._core.membership.view().get(action.name)
        address = view.peer_address if view else ""
        if not self._tasks.peers.send(action.name, address, action.message):
            self._deliver(PeerSendFailed(action.name))

    def _log(self, action: Log) -> None:
        log = self._logs.get(action.part)
        if log is None:
            log = self._logs[action.part] = PartLog(action.part)
        write = log.debug if action.name in _DEBUG_EVENTS else log.event
        write(action.name, action.message, **action.ids)

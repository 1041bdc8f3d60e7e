"""Process of one instance: the decision core and its input and output tasks."""

import json
import random
import signal
import sys
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

import gevent

from endivepick.core.actions import Log
from endivepick.core.events import Event, StopRequested
from endivepick.core.instance import CoreSettings, InstanceCore
from endivepick.core.roles import RoleSettings
from endivepick.daemon.action_executor import ActionExecutor, SocketTasks
from endivepick.daemon.core_loop import CoreLoop, MonotonicClock
from endivepick.daemon.fabric import fabric_task
from endivepick.daemon.http import http_task
from endivepick.daemon.logs import PartLog, process_log
from endivepick.daemon.metrics import DaemonMetrics
from endivepick.daemon.peers import PeerTask, peer_task
from endivepick.daemon.platform import platform_task
from endivepick.daemon.probes import probe_tasks
from endivepick.daemon.status import build_instance_status, compute_role_gauges
from endivepick.daemon.targets import target_tasks
from endivepick.settings.model import DaemonSettings
from endivepick.timeline.clock import HybridClock

__all__ = ["run"]

_log = PartLog("daemon")


def run(settings: DaemonSettings) -> int:
    """Run an instance until its planned stop has finished.

    Parameters
    ----------
    settings : DaemonSettings
        All settings of the instance.

    Returns
    -------
    int
        Exit status: 0, or 1 if flows remained without a successor.
    """
    hybrid_clock = HybridClock()
    with (
        process_log(settings.log, settings.instance.name, hybrid_clock),
        _run_instance(settings, hybrid_clock) as (loop, executor),
    ):
        _handle_signals(loop)
        loop.run(executor)
        stop_finished = executor.stop_finished
        unfinished_flows = stop_finished.open_flows if stop_finished else 0
        _log.event("stopped", "stopped", flows=unfinished_flows)
        return 1 if unfinished_flows else 0


@contextmanager
def _run_instance(
    settings: DaemonSettings, hybrid_clock: HybridClock
) -> Iterator[tuple[CoreLoop, ActionExecutor]]:
    random_source = random.SystemRandom()
    incarnation = random_source.getrandbits(64) | 1
    clock = MonotonicClock()
    metrics = DaemonMetrics()
    # Assigned below: the tasks need `deliver` before the loop exists.
    loops: list[CoreLoop] = []

    def deliver(event: Event) -> None:
        loops[0].deliver(event)

    with ExitStack() as stack:
        peers = stack.enter_context(
            peer_task(settings, incarnation, hybrid_clock, deliver)
        )
        core = InstanceCore(
            _core_settings(settings),
            incarnation,
            settings.listen.advertised_peer_address or peers.address,
            lambda: random_source.getrandbits(64),
            clock.now_s(),
        )
        loop = CoreLoop(core, clock)
        loops.append(loop)
        fabric = stack.enter_context(fabric_task(settings, deliver))
        targets = stack.enter_context(target_tasks(settings, deliver))
        probes = stack.enter_context(probe_tasks(settings, deliver))
        http = stack.enter_context(
            http_task(
                settings.listen,
                metrics,
                lambda: build_instance_status(core, clock.now_s()),
            )
        )
        platform = stack.enter_context(
            platform_task(
                settings,
                deliver,
                lambda result: metrics.count("platform_calls", result),
            )
        )
        tasks = SocketTasks(fabric, peers, targets, probes, http, platform)
        executor = ActionExecutor(core, tasks, metrics, loop.deliver_nowait)
        executor.execute(core.start())
        _print_addresses(settings, core, tasks)
        stack.enter_context(loop.run_ticks())
        metrics.set_collector(lambda: _update_gauges(metrics, core, peers))
        yield loop, executor


def _update_gauges(metrics: DaemonMetrics, core: InstanceCore, peers: PeerTask) -> None:
    metrics.set_role_gauges(compute_role_gauges(core))
    metrics.set_peer_traffic(peers.traffic)


def _core_settings(settings: DaemonSettings) -> CoreSettings:
    return CoreSettings(
        name=settings.instance.name,
        zone=settings.instance.zone,
        flow=settings.flow,
        roles=RoleSettings(
            probe_every_s=settings.targets.probe_every_s,
            quiet_probe_every_s=settings.targets.quiet_probe_every_s,
        ),
        dispatch=settings.dispatch,
        membership=settings.membership,
        records=settings.records,
        status=settings.status,
        keys=settings.keys,
    )


def _print_addresses(
    settings: DaemonSettings, core: InstanceCore, tasks: SocketTasks
) -> None:
    """Print the addresses of this instance for the process that started it."""
    line = {
        "ready": False,
        "name": settings.instance.name,
        "incarnation": core.me.incarnation,
        "data_address": tasks.fabric.address,
        "peer_address": tasks.peers.address,
        "http_address": tasks.http.address,
    }
    print(json.dumps(line), flush=True)


def _handle_signals(loop: CoreLoop) -> None:
    def stop() -> None:
        if loop.core.lifecycle.stopping:
            _report_open_flows(loop.core)
            return
        loop.deliver_nowait(StopRequested())

    gevent.signal_handler(signal.SIGTERM, stop)
    gevent.signal_handler(signal.SIGINT, stop)


def _report_open_flows(core: InstanceCore) -> None:
    open_flows = [flow for flow in core.table if flow.in_progress]
    action = Log(
        "daemon",
        "stop_in_progress",
        "planned stop in progress",
        {"flows": len(core.table), "in_progress": len(open_flows)},
    )
    _log.event(action.name, action.message, **action.ids)
    print(
        f"{len(core.table)} flows to hand over, {len(open_flows)} of them with a "
        "request in progress. Wait for the handover, or send SIGKILL to "
        "stop without it.",
        file=sys.stderr,
        flush=True,
    )

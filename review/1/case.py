"""A route is added whose requests take longer than the others of its service."""

import asyncio
import random
import signal
import sys
import time
from collections import Counter
from dataclasses import dataclass
from math import exp, log
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common.endpoints import Target  # noqa: E402
from common.world import BOUNDS, main, make_route  # noqa: E402

CORE, ROSTER = "leave-core", "roster-svc"
ZONES = {"thamel-hall": 3, "baneshwor-hall": 3, "lalitpur-hall": 3}
WATCH_PORT, EXPORT_PORT, TEAM_PORT, APPLY_PORT = 8443, 8080, 8090, 8100
SLOTS, QUEUE = 3, 12
WATCH_WORK_S = (0.055, 0.5, 0.330)
EXPORT_WORK_S = (0.005, 0.3, 0.030)
"""Mean, spread and maximum of the work, as in the site's file."""
TEAM_WORK_S = (0.150, 0.330)
APPLY_WORK_S = (0.250, 0.430)
"""Work on the new route, and of orders: at most what the site's file has for a watch
and for an application."""
WATCH_BYTES, EXPORT_BYTES, APPLY_BYTES = 2000, 4800, 600
EXPORTS_PER_S = 25.0
WATCHERS, APPLICANTS = 2, 4
"""Sessions of each zone on the routes that were there before."""
SESSION_S = (6.0, 9.0)
APPLY_SESSION_S = (40.0, 55.0)
PAUSE_S = (0.05, 0.15)
APPLY_PAUSE_S = (0.6, 1.4)
ROLL_PERIOD_S = 15.0
"""Time between two planned restarts of the third machine of a zone."""
WARM_UP_S = 20.0
OBSERVED_S = 84.0
IDLE_TIMEOUT_S = 15.0
BUDGET_S = 4.0


@dataclass(frozen=True)
class Kind:
    """Sessions of one route."""

    name: str
    port: int
    session_s: tuple
    pause_s: tuple


WATCH = Kind("watch", WATCH_PORT, SESSION_S, PAUSE_S)
TEAM = Kind("team", TEAM_PORT, SESSION_S, PAUSE_S)
APPLY = Kind("apply", APPLY_PORT, APPLY_SESSION_S, APPLY_PAUSE_S)


def draw_work(request):
    """Draw work and answer size of a request."""
    if request.startswith("team"):
        return random.uniform(*TEAM_WORK_S), WATCH_BYTES
    if request.startswith("apply"):
        return random.uniform(*APPLY_WORK_S), APPLY_BYTES
    (mean_s, spread, most_s), size = (
        (EXPORT_WORK_S, EXPORT_BYTES)
        if request.startswith("export")
        else (WATCH_WORK_S, WATCH_BYTES)
    )
    median_s = mean_s / exp(spread**2 / 2)
    return min(random.lognormvariate(log(median_s), spread), most_s), size


async def scenario(world, trouble):
    """Return whether no machine reset a flow of a target that lives."""
    Target.work = staticmethod(draw_work)
    Target.slot_count, Target.queue_size = SLOTS, QUEUE
    await world.start({CORE: 2, ROSTER: 2})
    host = f"{world.net}.198.1"
    watch = make_route("r-watch", host, WATCH_PORT, "safe", CORE)
    export = make_route("r-export", host, EXPORT_PORT, "download", ROSTER)
    apply = make_route("r-apply", host, APPLY_PORT, "unsafe", ROSTER)
    team = make_route("r-team", host, TEAM_PORT, "safe", ROSTER)
    services = (CORE, ROSTER)
    before = [watch, export, apply]
    await world.configure(3, before, services)
    await world.start_machines()
    state = {"counts": Counter(), "broken": 0}
    until_s = time.monotonic() + WARM_UP_S + OBSERVED_S
    work = []
    for client in world.clients:
        work.append(export_files(client, host, until_s, state))
        for _ in range(WATCHERS):
            work.append(hold_sessions(client, host, WATCH, until_s, state))
        third = [m for m in world.machines if m.zone == client.zone][-1]
        for _ in range(APPLICANTS):
            work.append(hold_sessions(client, host, APPLY, until_s, state, third))
        work.append(roll(world, third, until_s))
    running = asyncio.gather(*work)
    await asyncio.sleep(WARM_UP_S)
    # Two callers of each zone, through two machines, begin to use the new route.
    await world.configure(7, [*before, team] if trouble else before, services)
    await asyncio.sleep(BOUNDS["config_apply_ms"] / 1000)
    kind = TEAM if trouble else WATCH
    sessions = [
        hold_sessions(client, host, kind, until_s, state, machine)
        for client in world.clients
        for machine in [m for m in world.machines if m.zone == client.zone][:2]
    ]
    await asyncio.gather(running, *sessions)
    for text, count in sorted(state["counts"].items()):
        world.record(f"{text}: {count}")
    return not state["broken"]


async def export_files(client, host, until_s, state):
    """Download files, each on a flow of its own."""
    number, pending = 0, set()

    def count(done):
        pending.discard(done)
        state["counts"][f"export: {done.result().result[:4].strip()}"] += 1

    while time.monotonic() < until_s:
        await asyncio.sleep(random.expovariate(EXPORTS_PER_S))
        number += 1
        asked = client.request(host, EXPORT_PORT, f"export {number}", 2 * BUDGET_S)
        task = asyncio.ensure_future(asked)
        pending.add(task)
        task.add_done_callback(count)
    await asyncio.gather(*pending)


async def roll(world, machine, until_s):
    """Stop and start a machine by turns, as the platform does in planned work."""
    await asyncio.sleep(WARM_UP_S)
    while time.monotonic() < until_s - ROLL_PERIOD_S:
        machine.send_signal(signal.SIGTERM)
        while machine.process.poll() is None:
            await asyncio.sleep(0.05)
        machine.start()
        await asyncio.sleep(ROLL_PERIOD_S)


async def hold_sessions(client, host, kind, until_s, state, machine=None):
    """Hold one session after the other, through a given machine if there is one."""
    while time.monotonic() < until_s:
        flow = client.open_flow(host, kind.port)
        while machine is not None and flow.find_machine() is not machine:
            flow.close()
            flow = client.open_flow(host, kind.port)
            if not client.world.router.in_rotation[machine.name]:
                await asyncio.sleep(0.1)
        try:
            if await flow.connect():
                await use_session(client, flow, kind, until_s, state)
            else:
                state["counts"][f"{kind.name}: session not opened"] += 1
        finally:
            flow.close()
        await asyncio.sleep(random.uniform(0.2, 1.0))


async def use_session(client, flow, kind, until_s, state):
    """Use one flow until it is old, and check what ends it."""
    began_s = used_s = time.monotonic()
    end_s = min(began_s + random.uniform(*kind.session_s), until_s)
    number, cut = 0, ""
    while time.monotonic() < end_s and not flow.reset_by:
        number += 1
        text = f"{kind.name} {flow.sport}.{number} of {client.zone}"
        answer = await flow.ask(text, BUDGET_S)
        if answer == "reset":
            cut = text
            break
        state["counts"][f"{kind.name}: {answer[:4].strip()}"] += 1
        used_s = time.monotonic()
        await asyncio.sleep(random.uniform(*kind.pause_s))
    if flow.reset_by:
        judge_reset(client, flow, (began_s, used_s), (number, cut), state)


def judge_reset(client, flow, times_s, requests, state):
    """Record the reset of an open flow, and whether it breaks the rule."""
    world, now_s = client.world, time.monotonic()
    (began_s, used_s), (number, cut) = times_s, requests
    target = world.opened.get((client.host, flow.sport, flow.dst, flow.dport))
    by_machine = flow.reset_by.startswith("front-")
    broken = (
        by_machine
        and target is not None
        and target.alive
        and now_s - began_s < BOUNDS["max_flow_s"]
        and now_s - used_s < IDLE_TIMEOUT_S
    )
    state["broken"] += broken
    state["counts"][f"sessions reset by {'machines' if by_machine else 'targets'}"] += 1
    if cut in world.runs:
        state["counts"][f"{cut.split()[0]}: reset while the target ran it"] += 1
    name = "no target" if target is None else f"{target.name} of {target.service}"
    when = f"in the request {cut!r}, run {len(world.runs.get(cut, ()))} times"
    world.record(
        f"session {flow.sport} of {client.zone} at {name}, which lives, open for "
        f"{now_s - began_s:.1f} s with {number} requests, is reset by {flow.reset_by} "
        f"{when if cut else 'between requests'}{' BROKEN' if broken else ''}"
    )


if __name__ == "__main__":
    main(FOLDER, scenario, ZONES)

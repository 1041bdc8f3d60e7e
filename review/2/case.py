"""The store is silent for a moment after a change; a later change comes too late."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common.world import BOUNDS, main, make_route  # noqa: E402

OLD, NEW = "desk-old", "desk-new"
CONFIG_APPLY_S = BOUNDS["config_apply_ms"] / 1000
SILENCE_AFTER_S, SILENCE_S = 0.6, 0.3
CALM_S = BOUNDS["stable_window_ms"] / 1000 + 1.0
"""Time from the silence to the next version: then all machines are in touch."""
OBSERVED_S = 9.0
ASK_PERIOD_S = 0.1


async def scenario(world, trouble):
    """Return whether each machine applied the last version in time."""
    await world.start({OLD: 1, NEW: 1})
    host = f"{world.net}.198.1"
    note = make_route("r-note", host, 8443, "unsafe", OLD)
    moved = make_route("r-note", host, 8443, "unsafe", NEW)
    further = make_route("r-further", host, 8080, "safe", OLD)
    await world.configure(3, [note], (OLD, NEW))
    await world.start_machines()
    # One machine of each zone follows the store; the others ask it.
    await world.wait_for(lambda: _count_watches(world) == 3, 20.0, "one feeder a zone")
    await asyncio.sleep(2.0)

    # Version 7 adds a route. The store is silent shortly after, and then calm.
    await world.configure(7, [note, further], (OLD, NEW))
    await asyncio.sleep(SILENCE_AFTER_S)
    world.store.silent = trouble
    world.record(f"store: {'silent' if trouble else 'not silent'} from here")
    await asyncio.sleep(SILENCE_S)
    world.store.silent = False
    world.record("store: answers again")
    await asyncio.sleep(CALM_S)

    # Version 14 moves the route to another service.
    moved_s = await world.configure(14, [moved], (OLD, NEW))
    outcomes = await _ask(world, host, moved_s + OBSERVED_S)
    return _judge(world, outcomes, moved_s)


def _count_watches(world):
    return sum(1 for kind, _, _ in world.store.waiting.values() if kind == "config")


async def _ask(world, host, until_s):
    """Let the clients of each zone send requests, each on a flow of its own."""

    async def ask_from(client):
        pending, number = [], 0
        while time.monotonic() < until_s:
            number += 1
            text = f"note {number} of {client.zone}"
            asked = client.request(host, 8443, text)
            pending.append(asyncio.ensure_future(asked))
            await asyncio.sleep(ASK_PERIOD_S)
        return await asyncio.gather(*pending)

    groups = await asyncio.gather(*map(ask_from, world.clients))
    return [outcome for group in groups for outcome in group]


def _judge(world, outcomes, moved_s):
    late = 0
    for outcome in sorted(outcomes, key=lambda each: each.sent_s):
        after_s = outcome.sent_s - moved_s
        for target, service, _ in world.runs.get(outcome.request, []):
            broken = service == OLD and after_s > CONFIG_APPLY_S
            late += broken
            world.record(
                f"sent {after_s:.3f} s after version 14 was acknowledged, through "
                f"{outcome.machine}: {outcome.request}, run by {target.name} of "
                f"{service}, answered {outcome.result!r}{' TOO LATE' if broken else ''}"
            )
    world.record(
        f"{len(outcomes)} requests, {late} of them sent more than {CONFIG_APPLY_S} s "
        "after version 14 was acknowledged and run by the old service"
    )
    return not late


if __name__ == "__main__":
    main(FOLDER, scenario)

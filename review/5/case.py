"""A cut-off entry of another writer swallows those after it; live flows are reset."""

import asyncio
import json
import sys

from installation import CannotRunError, play
from load import Load, wait_ready
from targets import Target

ROUTE = ("198.18.0.1", 8443)
FLOW_LASTS_S = 25.0
ENTRY_S, RESTART_S, AFTER_RESTART_S = 3.0, 3.0, 12.0
BUDGET_S = 6.4
MEMBERS = 20
CUT_BYTES = 2


async def case(world):
    """Write the entry, restart one machine as planned, and watch for resets."""
    world.put_config([("r-notes", *ROUTE, "unsafe", "notes")], ["notes"])
    for zone in (*world.zones, *world.zones):
        target = Target(world, "notes", zone, world.new_host())
        world.targets.append(target)
        await target.start()
    for zone in (*world.zones, *world.zones):
        world.add_node(zone)
    for node in world.nodes:
        node.start()
    world.start_checks()
    if not await wait_ready(world, len(world.nodes)):
        raise CannotRunError("not all machines became ready")
    await asyncio.sleep(world.bounds["stable_window_ms"] / 1000)
    load = Load(world, ROUTE, BUDGET_S)
    for zone in world.zones * 8:
        client = await load.add_client(zone)
        world.spawn(load.use_flows(client, FLOW_LASTS_S))
    await asyncio.sleep(ENTRY_S)
    if world.trouble:
        members = [{"host": f"h-{number:03d}", "slots": 2} for number in range(MEMBERS)]
        text = json.dumps(members)[:-CUT_BYTES]
        world.store.put("servers", "a-inventory", text.encode())
        world.record.add("entry of another writer", bytes=len(text), end=text[-40:])
    await asyncio.sleep(RESTART_S)
    await world.nodes[0].restart()
    await asyncio.sleep(1.0)
    if not await wait_ready(world, len(world.nodes)):
        raise CannotRunError("the restarted machine did not become ready")
    world.record.add("used again", node=world.nodes[0].name)
    await asyncio.sleep(AFTER_RESTART_S)
    load.stop()
    broken = world.count_live_resets()
    world.record.add("requests", sent=load.sent, **load.ends)
    print(f"sent {load.sent}, ended {load.ends}, live flows reset {broken}", flush=True)
    if not load.served:
        raise CannotRunError("nothing was served")
    return broken > 0


if __name__ == "__main__":
    raise SystemExit(play(case, sys.argv[1]))

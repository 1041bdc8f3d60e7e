"""Callers that open a flow for each request, or keep one open for many."""

import asyncio
import random
import time

from clients import LATE, REFUSED, SERVED, SILENT, Client

TRIES = 3


class Load:
    """Requests of several clients and how they ended."""

    def __init__(self, world, route, budget_s=3.0):
        self.world = world
        self.route = route
        self.budget_s = budget_s
        self.sent = 0
        self.ends = {}
        self._count = 0
        self._stopped = False

    async def add_client(self, zone):
        """Add a client of a zone."""
        client = Client(self.world, self.world.new_host(), zone)
        await client.start()
        self.world.clients.append(client)
        return client

    async def open_flows(self, client, pause_s):
        """Send a request on a flow of its own, again and again."""
        while not self._stopped:
            self.world.spawn(self.send_once(client))
            await asyncio.sleep(pause_s * random.uniform(0.8, 1.2))

    async def send_once(self, client):
        """Send one request; a flow that did not open is tried twice again."""
        request = self.new_request()
        until_s = time.monotonic() + self.budget_s
        end = LATE
        for _ in range(TRIES):
            flow = client.new_flow(self.route)
            opened = await flow.establish()
            if not opened:
                end = await flow.ask(request, until_s - time.monotonic())
            else:
                end = opened
            flow.close()
            if end not in (REFUSED, SILENT) or time.monotonic() > until_s:
                break
        self.note(request, end)

    async def use_flows(self, client, lasts_s):
        """Keep flows open for some seconds each, with a request every half second."""
        while not self._stopped:
            flow = client.new_flow(self.route)
            failed = await flow.establish()
            ends_s = time.monotonic() + lasts_s
            while not (failed or self._stopped) and time.monotonic() < ends_s:
                request = self.new_request()
                end = await flow.ask(request, self.budget_s)
                self.note(request, end)
                failed = end != SERVED
                await asyncio.sleep(0.5)
            flow.close()
            await asyncio.sleep(0.1)

    def new_request(self):
        """Return the id of a new request."""
        self._count += 1
        self.sent += 1
        request = f"q{self._count:05d}"
        self.world.record.add("sent", request=request)
        return request

    def note(self, request, end):
        """Record how a request ended."""
        self.ends[end] = self.ends.get(end, 0) + 1
        self.world.record.add("ended", request=request, how=end)

    def stop(self):
        """Send no further requests."""
        self._stopped = True

    @property
    def served(self):
        """Number of requests that were served."""
        return self.ends.get(SERVED, 0)


async def wait_ready(world, least, limit_s=15.0):
    """Wait until so many machines are in rotation; return whether they are."""
    until_s = time.monotonic() + limit_s
    while time.monotonic() < until_s:
        if sum(node.in_rotation for node in world.nodes) >= least:
            return True
        await asyncio.sleep(0.1)
    return False

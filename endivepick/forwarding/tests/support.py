"""Shared fixtures and helpers for the tests of the forwarding core."""

import random

from endivepick.forwarding import (
    Configuration,
    FlowKey,
    Forward,
    ForwardingCore,
    ForwardingSettings,
    Packet,
    ProbeOutcome,
    ProbeResult,
    ProbeTarget,
    Route,
    RouteKind,
    ServiceShare,
    Target,
    TargetPhase,
)

SERVICE_HOST = 0xC6120001
IDEMPOTENT_PORT = 443
ONCE_PORT = 8080


def make_target(name, zone="a", service="notes", phase=TargetPhase.READY, **fields):
    number = int(name.rpartition("-")[2], 16)
    return Target(
        name,
        number,
        service,
        "10.0.0.1",
        8000 + number % 1000,
        zone,
        fields.pop("slots", 2),
        phase,
        **fields,
    )


def make_configuration(revision=1, version=7, ports=(IDEMPOTENT_PORT, ONCE_PORT)):
    routes = tuple(
        Route(
            f"r{port}",
            SERVICE_HOST,
            port,
            (ServiceShare("notes", 1.0),),
            RouteKind.AT_MOST_ONCE if port == ONCE_PORT else RouteKind.IDEMPOTENT,
        )
        for port in ports
    )
    return Configuration(version, revision, routes, {"notes": "/health"})


def make_core(targets=(), zone="a", zones=1, seed=1, **settings):
    core = ForwardingCore(
        ForwardingSettings(zone=zone, zones=zones, **settings),
        random.Random(seed).random,
    )
    core.on_configuration(make_configuration(), 0.0)
    core.on_target_list(targets, 10, 0.0)
    core.effects.clear()
    return core


def flow_key(caller_port=1000, port=IDEMPOTENT_PORT):
    return FlowKey(0x64400007, caller_port, SERVICE_HOST, port)


def opening(flow, copy=0):
    return Packet(flow, True, False, 0, 100, copy, 0)


def data(flow, cookie, sequence=101, acknowledged=500, data_bytes=300):
    return Packet(flow, False, False, cookie, sequence, acknowledged, data_bytes)


def open_flow(core, flow, now_s):
    """Open a flow and return the state of its target."""
    verdict = core.on_packet(opening(flow), b"", now_s)
    assert isinstance(verdict, Forward), verdict
    return verdict.belief


def take(core, kind):
    """Return the effects of a kind, and clear all effects."""
    found = [effect for effect in core.effects if isinstance(effect, kind)]
    core.effects.clear()
    return found


def answer_probes(core, outcome, now_s):
    """Answer all probes that the core requests; returns the probed names."""
    names = [probe.target.name for probe in take(core, ProbeTarget)]
    for name in names:
        core.on_probe(ProbeResult(name, outcome), now_s)
    return names


SILENT = ProbeOutcome.SILENT
REFUSED = ProbeOutcome.REFUSED
REPLACED = ProbeOutcome.REPLACED
ALIVE = ProbeOutcome.ALIVE

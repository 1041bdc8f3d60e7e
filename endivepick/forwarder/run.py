"""Runs a forwarder as a process."""

import signal
from collections.abc import Mapping
from socket import socket

import gevent
from gevent.event import Event

from endivepick.forwarder.forwarder import Forwarder
from endivepick.forwarder.logs import open_log
from endivepick.forwarder.ports import FeedKind, PacketCodec, StoreDialect
from endivepick.forwarder.settings import load_forwarder_settings
from endivepick.forwarder.settings_monitor import SettingsLoader, SettingsReload
from endivepick.forwarder.tasks import spawn_supervised

__all__ = ["run"]


def run(
    path: str,
    codec: PacketCodec,
    dialect: StoreDialect,
    early: socket | None = None,
    asked: Mapping[FeedKind, socket] | None = None,
    load: SettingsLoader = load_forwarder_settings,
) -> int:
    """Run a forwarder until SIGTERM.

    Parameters
    ----------
    path : str
        Settings file; read again on SIGHUP and when it changes.
    codec : PacketCodec
        Codec of the fabric's packets.
    dialect : StoreDialect
        The platform's object API.
    early : socket, default=None
        Data socket that was bound before the program was loaded.
    asked : mapping of socket, default=None
        Connections on which lists of the store were already requested, by kind.
    load : callable
        Reads a settings file.

    Returns
    -------
    int
        Exit status.
    """
    settings = load(path)
    log = open_log(settings.name)
    forwarder = Forwarder(settings, codec, dialect, log, asked)
    decisions = forwarder.decisions
    stop_wanted = Event()
    gevent.signal_handler(signal.SIGTERM, stop_wanted.set)
    gevent.signal_handler(signal.SIGINT, stop_wanted.set)
    with forwarder.serving(early) as datagrams:
        decisions.log_start(datagrams.address)
        reload = SettingsReload(path, load, settings, log)
        gevent.signal_handler(signal.SIGHUP, reload.read, "signal")
        watching = spawn_supervised("settings", reload.watch_file, decisions)
        stop_wanted.wait()
        forwarder.stop()
        gevent.sleep(forwarder.forwards_for_s)
        watching.kill()
    decisions.log_stop_end(len(forwarder.core.flows))
    return 0

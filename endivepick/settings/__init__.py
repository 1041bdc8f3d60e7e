"""Settings of an instance: parsing, validation and reference documentation."""

from endivepick.addresses import parse_address
from endivepick.settings.explain import explain, explain_markdown
from endivepick.settings.model import (
    DaemonSettings,
    DispatchSettings,
    DisseminationSettings,
    FabricSettings,
    FlowSettings,
    InstanceSettings,
    ListenSettings,
    LogLevel,
    LogSettings,
    MembershipSettings,
    PlatformAccessSettings,
    SecretsSettings,
    TargetSettings,
)
from endivepick.settings.reader import load_settings, parse_settings

__all__ = [
    "DaemonSettings",
    "DispatchSettings",
    "DisseminationSettings",
    "FabricSettings",
    "FlowSettings",
    "InstanceSettings",
    "ListenSettings",
    "LogLevel",
    "LogSettings",
    "MembershipSettings",
    "PlatformAccessSettings",
    "SecretsSettings",
    "TargetSettings",
    "explain",
    "explain_markdown",
    "load_settings",
    "parse_address",
    "parse_settings",
]

"""Client of the platform's object API."""

from endivepick.backoff import Backoff, BackoffSettings
from endivepick.platform.answers import (
    InstanceList,
    ListedInstance,
    ObjectList,
    WatchResult,
)
from endivepick.platform.client import PlatformClient, ReadError, WatchError, WriteError
from endivepick.platform.settings import PlatformSettings

__all__ = [
    "Backoff",
    "BackoffSettings",
    "InstanceList",
    "ListedInstance",
    "ObjectList",
    "PlatformClient",
    "PlatformSettings",
    "ReadError",
    "WatchError",
    "WatchResult",
    "WriteError",
]

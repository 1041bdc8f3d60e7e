"""Service records: schemas, validation, conversion and the monotonic cache."""

from endivepick.records.cache import CACHED_KINDS, CacheDigest, Change, RecordCache
from endivepick.records.difference import FieldDifference, compare_bodies
from endivepick.records.model import Affinity, ServiceRecord, TargetRecord
from endivepick.records.objects import (
    INSTANCE_KIND,
    KEYRING_KIND,
    KEYRING_NAME,
    SERVICE_KIND,
    STATUS_KIND,
    ObjectKey,
    StoredObject,
)
from endivepick.records.schema import (
    NEWEST_SCHEMA_VERSION,
    SCHEMA_VERSIONS,
    ConvertedBody,
    parse_service,
    write_service,
)

__all__ = [
    "CACHED_KINDS",
    "INSTANCE_KIND",
    "KEYRING_KIND",
    "KEYRING_NAME",
    "NEWEST_SCHEMA_VERSION",
    "SCHEMA_VERSIONS",
    "SERVICE_KIND",
    "STATUS_KIND",
    "Affinity",
    "CacheDigest",
    "Change",
    "ConvertedBody",
    "FieldDifference",
    "ObjectKey",
    "RecordCache",
    "ServiceRecord",
    "StoredObject",
    "TargetRecord",
    "compare_bodies",
    "parse_service",
    "write_service",
]

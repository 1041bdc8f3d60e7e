from endivepick.core.dispatch import (
    DispatchSettings,
    ProbeResult,
    RequestIntent,
    ServiceDispatcher,
    Start,
    TargetHealth,
)
from endivepick.records.model import Affinity, ServiceRecord, TargetRecord

READY = TargetHealth.READY


def make_record(affinity=Affinity.REQUEST, targets=3, slots=1, version=1, **fields):
    return ServiceRecord(
        name="notes",
        version=version,
        schema_version=2,
        write_id="",
        affinity=affinity,
        targets=tuple(
            TargetRecord(f"t{i}", f"zone{i}", f"127.0.0.1:{i}", slots, 2000)
            for i in range(targets)
        ),
        **fields,
    )


def ready(index=0, **fields):
    values = {"state": READY, "service": "notes", "incarnation": 100 + index}
    return ProbeResult(**(values | fields))


def make_dispatcher(record=None, own_zone="zone0", probe=True, **settings):
    record = record or make_record()
    dispatcher = ServiceDispatcher(DispatchSettings(**settings), record, own_zone, 0.0)
    if probe:
        for index in range(len(record.targets)):
            dispatcher.on_probe(f"t{index}", 0.0, ready(index))
    return dispatcher


def intent(request_id, pinned="", deadline_at_s=30.0, idempotent=True, **fields):
    return RequestIntent(request_id, pinned, deadline_at_s, idempotent, **fields)


def submit(dispatcher, request_id, now_s=0.0, **fields):
    return dispatcher.submit(intent(request_id, **fields), now_s, 0.5)


def starts(decisions):
    return {d.request_id: d.target for d in decisions if isinstance(d, Start)}

"""Bounds of the checks of the flow model, and its mutations."""

from dataclasses import replace

from endivepick.model import _flow_mutants as mutants
from endivepick.model._eager_expiry_table import EagerExpiryTable
from endivepick.model._flow_node import Parts
from endivepick.model._flow_state import Bounds, CallerRules
from endivepick.model._mutation import Mutation
from endivepick.model.flows import flow_specification

__all__ = ["FLOW_MUTATIONS", "FLOW_SCENARIOS"]

_TWO = ("a", "b")
_THREE = ("a", "b", "c")
_CRASH = Bounds(_TWO, crashes=1, restarts=1, reissues=1, attempts=2)
_STOP = Bounds(_TWO, stops=("a",), attempts=2)
_STOP_OF_THREE = replace(_STOP, names=_THREE)
_STOP_AND_CRASH = replace(_STOP, crashes=1, restarts=1)
_CLOSE = replace(_CRASH, closes_flow=True, expires_flows=True)
_EXPIRE_OPEN = replace(_CRASH, expires_flows=True, next_request=True)
_EAGER_EXPIRY = Parts(table=EagerExpiryTable)
_CHAIN = Bounds(
    _THREE, stops=("a", "b"), attempts=1, fixed_successor=True, receives_renewals=False
)

FLOW_SCENARIOS: dict[str, Bounds] = {
    "crash and false suspicion": replace(_CRASH, names=_THREE),
    "idempotent request, crash": replace(_CRASH, idempotent=True),
    "next request after a crash": replace(_CRASH, next_request=True),
    "refusals and new numbers": replace(_CRASH, new_numbers=1),
    "caller gives up during a stop": replace(_STOP, cancels=True, acknowledges=True),
    "planned stop, two candidates": _STOP_OF_THREE,
    "planned stop and crash": _STOP_AND_CRASH,
    "planned stop, unused flows forgotten": replace(_STOP_OF_THREE, expires_flows=True),
    "closed flow forgotten, crash": _CLOSE,
    "closed flow forgotten, planned stop": replace(
        _STOP, closes_flow=True, expires_flows=True
    ),
    "open flows forgotten, crash": replace(_EXPIRE_OPEN, parts=_EAGER_EXPIRY),
    "open flows forgotten, planned stop": replace(
        _STOP, expires_flows=True, reissues=1, parts=_EAGER_EXPIRY
    ),
    "planned stop, time is up": replace(_STOP, may_time_out=True),
    "planned stop, idempotent, time is up": replace(
        _STOP, may_time_out=True, idempotent=True
    ),
    "planned stop, stream": replace(_STOP, stream=True, idempotent=True),
    "chain of planned stops": _CHAIN,
    "chain of planned stops, crash": replace(_CHAIN, crashes=1, may_declare_dead=False),
}
"""Bounds of each check, by name."""


def _mutation(name: str, bounds: Bounds, parts: Parts = Parts()) -> Mutation:  # noqa: B008
    return Mutation(name, flow_specification(name, replace(bounds, parts=parts)))


def _caller_mutation(name: str, bounds: Bounds, rules: CallerRules) -> Mutation:
    return Mutation(name, flow_specification(name, replace(bounds, caller=rules)))


FLOW_MUTATIONS: tuple[Mutation, ...] = (
    _mutation("a relay reports 'not run'", _CRASH, Parts(relay=mutants.RefusingRelay)),
    _mutation(
        "an owner is identified without its incarnation",
        _CRASH,
        Parts(relay=mutants.NameOnlyRelay, router=mutants.NameOnlyRouter),
    ),
    _mutation(
        "a crash re-issue keeps the binding",
        replace(_CRASH, next_request=True, attempts=3),
        Parts(relay=mutants.BindingReusingRelay),
    ),
    _mutation(
        "a refusal is not stored",
        _CRASH,
        Parts(executor=mutants.RefusalForgettingExecutor),
    ),
    _mutation(
        "a closed flow's binding is adopted again",
        _CLOSE,
        Parts(table=mutants.ReadoptingTable),
    ),
    _mutation(
        "a relay's binding is adopted again",
        _EXPIRE_OPEN,
        Parts(table=mutants.EagerExpiryReadoptingTable),
    ),
    _caller_mutation(
        "a non-idempotent request is sent again under a new binding",
        _CRASH,
        CallerRules(resends_non_idempotent=True),
    ),
    _caller_mutation(
        "the caller trusts the last refusal",
        replace(_CRASH, idempotent=True),
        CallerRules(trusts_last_refusal=True),
    ),
    _mutation(
        "a flow is unfrozen after its hand-over",
        _STOP,
        Parts(giver=mutants.UnfreezingGiver),
    ),
    _mutation(
        "the replay window is lost in the hand-over",
        _STOP,
        Parts(taker=mutants.EmptyWindowTaker),
    ),
    _mutation(
        "a second successor after the first send",
        _STOP_OF_THREE,
        Parts(giver=mutants.SecondSuccessorGiver),
    ),
    _mutation(
        "a duplicate of a hand-over is accepted again",
        _STOP,
        Parts(taker=mutants.DuplicateAcceptingTaker),
    ),
    _mutation(
        "a hand-over reaches another incarnation",
        _STOP_AND_CRASH,
        Parts(taker=mutants.AnyIncarnationTaker),
    ),
    _mutation(
        "a stop does not wait for the request in progress",
        _STOP,
        Parts(giver=mutants.CancellingGiver),
    ),
    _mutation(
        "'not run' after a second attempt while the first may have run",
        replace(_CRASH, idempotent=True),
        Parts(executor=mutants.AttemptForgettingExecutor),
    ),
)
"""Mutations of the flow rules; each must violate an invariant."""

"""Bounds under which the flow model is checked, and its mutations."""

from dataclasses import replace

from endivepick.model import _flow_mutants as mutants
from endivepick.model._eager_expiry_table import ForgetfulTable
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
_CLOSE = replace(_CRASH, closes=True, forgets=True)
_FORGET_OPEN = replace(_CRASH, forgets=True, next_request=True)
_FORGETFUL = Parts(table=ForgetfulTable)
_CHAIN = Bounds(_THREE, stops=("a", "b"), attempts=1, in_turn=True, renews=False)

FLOW_SCENARIOS: dict[str, Bounds] = {
    "crash and false suspicion": replace(_CRASH, names=_THREE),
    "idempotent request, crash": replace(_CRASH, idempotent=True),
    "next request after a crash": replace(_CRASH, next_request=True),
    "refusals and new numbers": replace(_CRASH, new_numbers=1),
    "caller gives up during a stop": replace(_STOP, cancels=True, acknowledges=True),
    "planned stop, two candidates": _STOP_OF_THREE,
    "planned stop and crash": _STOP_AND_CRASH,
    "planned stop, unused flows forgotten": replace(_STOP_OF_THREE, forgets=True),
    "closed flow forgotten, crash": _CLOSE,
    "closed flow forgotten, planned stop": replace(_STOP, closes=True, forgets=True),
    "open flows forgotten, crash": replace(_FORGET_OPEN, parts=_FORGETFUL),
    "open flows forgotten, planned stop": replace(
        _STOP, forgets=True, reissues=1, parts=_FORGETFUL
    ),
    "planned stop, time is up": replace(_STOP, time_up=True),
    "planned stop, idempotent, time is up": replace(
        _STOP, time_up=True, idempotent=True
    ),
    "planned stop, stream": replace(_STOP, stream=True, idempotent=True),
    "chain of planned stops": _CHAIN,
    "chain of planned stops, crash": replace(_CHAIN, crashes=1, gives_up=False),
}
"""By name, the bounds of each check."""


def _mutation(name: str, bounds: Bounds, parts: Parts = Parts()) -> Mutation:  # noqa: B008
    return Mutation(name, flow_specification(name, replace(bounds, parts=parts)))


def _caller_mutation(name: str, bounds: Bounds, rules: CallerRules) -> Mutation:
    return Mutation(name, flow_specification(name, replace(bounds, caller=rules)))


FLOW_MUTATIONS: tuple[Mutation, ...] = (
    _mutation("a relay says 'not run'", _CRASH, Parts(relay=mutants.RefusingRelay)),
    _mutation(
        "an owner is known without its incarnation",
        _CRASH,
        Parts(relay=mutants.NameOnlyRelay, router=mutants.NameOnlyRouter),
    ),
    _mutation(
        "a crash re-issue keeps the binding",
        replace(_CRASH, next_request=True, attempts=3),
        Parts(relay=mutants.ReusingRelay),
    ),
    _mutation(
        "a refusal is not remembered",
        _CRASH,
        Parts(executor=mutants.ForgetfulExecutor),
    ),
    _mutation(
        "a closed flow's binding is adopted again",
        _CLOSE,
        Parts(table=mutants.ReadoptingTable),
    ),
    _mutation(
        "a relay's binding is adopted again",
        _FORGET_OPEN,
        Parts(table=mutants.ForgetfulReadoptingTable),
    ),
    _caller_mutation(
        "a non-idempotent request is sent again under a new binding",
        _CRASH,
        CallerRules(resends_non_idempotent=True),
    ),
    _caller_mutation(
        "the caller believes the last refusal",
        replace(_CRASH, idempotent=True),
        CallerRules(believes_last_refusal=True),
    ),
    _mutation(
        "a flow thaws after its hand-over", _STOP, Parts(giver=mutants.ThawingGiver)
    ),
    _mutation(
        "the window is lost at the hand-over",
        _STOP,
        Parts(taker=mutants.EmptyWindowTaker),
    ),
    _mutation(
        "a second successor after the first send",
        _STOP_OF_THREE,
        Parts(giver=mutants.SecondSuccessorGiver),
    ),
    _mutation(
        "a copy of a hand-over is taken in again",
        _STOP,
        Parts(taker=mutants.RepeatingTaker),
    ),
    _mutation(
        "a hand-over reaches another incarnation",
        _STOP_AND_CRASH,
        Parts(taker=mutants.AnyIncarnationTaker),
    ),
    _mutation(
        "a stop does not wait for the request in progress",
        _STOP,
        Parts(giver=mutants.ImpatientGiver),
    ),
    _mutation(
        "'not run' after a second attempt while the first may have run",
        replace(_CRASH, idempotent=True),
        Parts(executor=mutants.BlindExecutor),
    ),
)
"""Changes of the flow's rules, each of which has to break an invariant."""

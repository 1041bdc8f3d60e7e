"""State charts, loaded from files into transition tables.

The files use the format of the ``sismic`` library and are flat: one level of states
with transitions by event.  ``sismic`` reads and validates them; each transition at
run time is a lookup in a table, which is cheap enough for every request.
"""

from dataclasses import dataclass
from functools import cache
from importlib import resources

from sismic.io import import_from_yaml
from sismic.model import Statechart

from endivepick.errors import ChartError

__all__ = ["Chart", "load_chart"]


@dataclass(frozen=True)
class Chart:
    """Transition table of one state chart.

    Attributes
    ----------
    name : str
        Name of the chart's file without its extension.
    initial : str
        Initial state.
    transitions : dict
        Next state for each pair of state and event.
    final : frozenset of str
        States without outgoing transitions.
    """

    name: str
    initial: str
    transitions: dict[tuple[str, str], str]
    final: frozenset[str]

    def step(self, state: str, event: str) -> str:
        """Return the state after an event.

        Raises
        ------
        ChartError
            If the chart has no such transition.

        Examples
        --------
        >>> load_chart("owned_request").step("receiving", "complete")
        'waiting'
        """
        try:
            return self.transitions[state, event]
        except KeyError:
            raise ChartError(
                f"Chart {self.name!r} has no transition for event {event!r} in state "
                f"{state!r}. "
                "Add the transition to the chart or check the state first."
            ) from None

    def allows(self, state: str, event: str) -> bool:
        """Tell whether the chart has a transition for an event in a state."""
        return (state, event) in self.transitions


@cache
def load_chart(name: str) -> Chart:
    """Load ``endivepick/charts/<name>.yaml``.

    Raises
    ------
    ChartError
        If the file is missing or the chart is nested.
    """
    path = resources.files("endivepick") / "charts" / f"{name}.yaml"
    try:
        statechart = import_from_yaml(path.read_text(encoding="utf-8"))
    except FileNotFoundError:
        raise ChartError(f"Chart {name!r} is missing. Add {path}.") from None
    return _build_chart(name, statechart)


def _build_chart(name: str, statechart: Statechart) -> Chart:
    root = statechart.root
    states = statechart.children_for(root)
    if any(statechart.children_for(state) for state in states):
        raise ChartError(f"Chart {name!r} has nested states. Make it flat.")
    transitions = {
        (transition.source, transition.event): transition.target
        for transition in statechart.transitions
    }
    sources = {source for source, _ in transitions}
    return Chart(
        name=name,
        initial=statechart.state_for(root).initial,
        transitions=transitions,
        final=frozenset(state for state in states if state not in sources),
    )

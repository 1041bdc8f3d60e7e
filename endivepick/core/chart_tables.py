"""Generator of the module with the transition tables of the forwarder's charts.

With the generated tables a forwarder does not have to import ``sismic`` at its start,
before its first packet.  Run ``python -m endivepick.core.chart_tables`` after each
change of a chart.
"""

from importlib import resources
from pathlib import Path

from endivepick.core.chart import load_chart

__all__ = ["main", "render_tables"]

_CHARTS = ("fitness", "overload", "reachability", "registered_target")
_HEADER = '''"""State charts as tables: the next state by state and event.

Made from endivepick/charts by ``python -m endivepick.core.chart_tables``; change the
charts instead of this file.
"""
'''


def render_tables() -> str:
    """Return the source text of the generated module."""
    names = ", ".join(f'"{name.upper()}"' for name in _CHARTS)
    parts = [_HEADER, f"__all__ = [{names}]\n"]
    for name in _CHARTS:
        rows = [
            f'    ("{state}", "{event}"): "{target}",\n'
            for (state, event), target in sorted(load_chart(name).transitions.items())
        ]
        parts.append(f"{name.upper()} = {{\n{''.join(rows)}}}\n")
    return "\n".join(parts)


def main() -> None:
    """Write the generated module into the package."""
    path = resources.files("endivepick") / "forwarding" / "_charts.py"
    Path(str(path)).write_text(render_tables(), encoding="utf-8")


if __name__ == "__main__":
    main()

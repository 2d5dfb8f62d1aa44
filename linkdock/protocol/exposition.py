"""The figures as text, in the form that Prometheus reads: one sample a line."""

from __future__ import annotations

from ..state.figures import Figures

PREFIX = "edge_relay"


def escaped(value: str) -> str:
    """A label's value as the form wants it."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def render(figures: Figures, **gauges: int) -> list[str]:
    """Every series there is, those at 0 too."""
    lines = [
        f'{PREFIX}_operations{{priority="{escaped(cls)}",status="{end}"}} {count}' for cls, end, count in figures.ends()
    ]
    numbers = {"relayed": figures.relayed, **gauges, "cfg_accepted": figures.accepted, "cfg_invalid": figures.invalid}
    return lines + [f"{PREFIX}_{name} {number}" for name, number in numbers.items()]

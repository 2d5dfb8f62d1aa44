"""The roles of the page, by the name of each one's table."""

from __future__ import annotations

from collections.abc import Callable

from .control_needs import control_machine, operators
from .figures import Figures
from .sender_needs import sender_control, sender_delivery
from .verdicts import Need

ROLES: dict[str, Callable[[Figures], list[Need]]] = {
    "sender-control": sender_control,
    "sender-delivery": sender_delivery,
    "control-machine": control_machine,
    "operators": operators,
}

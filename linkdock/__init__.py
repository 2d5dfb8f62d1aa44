"""A sender and its decisions: `interface` says what goes in and out, `decisions` decides."""

__version__ = "0.2.0"

from .decisions import Relay
from .interface import (
    Action,
    Cancel,
    CloseIdle,
    DestinationKind,
    Effect,
    Event,
    Fail,
    FetchList,
    Host,
    HostEntry,
    Hosts,
    HostState,
    ListKind,
    Log,
    Message,
    MessageClass,
    Outcome,
    PeerMessage,
    Probe,
    Probed,
    Refuse,
    Report,
    Result,
    Send,
    SetTimer,
    Settings,
    Started,
    Subscribe,
    Tell,
    TimerDue,
    Withdrawn,
)

__all__ = [
    "Action", "Cancel", "CloseIdle", "DestinationKind", "Effect", "Event", "Fail", "FetchList", "Host",
    "HostEntry", "Hosts", "HostState", "ListKind", "Log", "Message", "MessageClass", "Outcome", "PeerMessage",
    "Probe", "Probed", "Refuse", "Relay", "Report", "Result", "Send", "SetTimer", "Settings", "Started",
    "Subscribe", "Tell", "TimerDue", "Withdrawn",
]

"""A sender and its decisions: `interface` says what goes in and out, `decide` decides."""

__version__ = "0.2.0"

from .decide import Relay
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

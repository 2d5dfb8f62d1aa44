"""The size to design for, and the budgets, as issue 30 states them. What follows from them is worked out here once."""

from __future__ import annotations

SENDERS = 6800
EVENTS = 2.4e6  # a second, over all senders
DESTINATIONS = 1_300_000
DOWN = 0.01  # share of destinations that are down at any time
BACKLOG = 89e9  # events
REGIONS, ZONES = 3, 10
CHANGES = 6300  # changes of configuration a day
IN_FORCE = 6.0  # seconds in which a change is in force everywhere
MACHINES = 7  # set aside for control
FAILURES, RESTARTS = 9, 1700  # machines a day
DAY = 86400.0  # seconds

CORE = 0.039  # seconds of a processor a second that a sender spends on control
MEMORY = 32e6  # bytes
WIRE = 11e3  # bytes a second

EVENTS_EACH = EVENTS / SENDERS  # a second at one sender
BACKLOG_EACH = BACKLOG / SENDERS  # events held by one sender
IN_A_ZONE = SENDERS // ZONES
CALLED_EVERY = DESTINATIONS / EVENTS_EACH  # seconds between two calls of one sender to one destination, spread evenly
MACHINE_WIRE = WIRE * SENDERS / MACHINES  # bytes a second: what all senders may spend, at the control machines' end
MACHINE_CORE = 1.0  # a control process of today is one Python process: one core at the most
AWAKE_FOR = 60.0  # seconds without work after which a destination sleeps, by default
AWAKE = min(DESTINATIONS, int(EVENTS_EACH * AWAKE_FOR))  # destinations awake at a sender at one time

REPLICAS = 3  # senders for each destination, once assignment has them
ROWS_ASSIGNED = DESTINATIONS * REPLICAS // SENDERS
REPORTS = 2.0  # of a sender to the judge a second: its evidence is stale after 2 s
JUDGEMENTS = 4.0  # a second, as on the virtual fleet

"""What a record says: the names of the events and their fields. `FORMAT` is raised when their meaning changes.

Each line is one JSON object. All have `event`, `seq` (counted from 1 in each life; 0 heads a further part),
`life` (drawn anew at
each start), `mono` (seconds on the loop's clock, which never runs back) and `unix` (seconds, the machine's clock).
Times of day compare lives and machines; `mono` measures within one life.
"""

FORMAT = 1

STARTED = "started"  # name, format, pid, classes {name: {repeatable, deadline}}, part: again for each file
RESTORED = "restored"  # id, cls, dest, until, used, doubt [attempts], notice (owed already, or null), again
RESENT = "resent"  # id, cls, dest, until: could not be delivered before, new work now; its end is told to no platform
READY = "ready"  # port
HANDED_IN = "handed_in"  # id, client, cls, dest, left, again, held
REFUSED = "refused"  # id, cls, dest, why: answered with an error, nothing begun
ANSWERED = "answered"  # id, client, answer: taken, busy or failed, cls, dest, until, heard, again (a known id)
DISPATCHED = "dispatched"  # id, attempt, server, limit
SENT = "sent"  # id, attempt, server: on record, its first byte goes out next
HELD_UP = "held_up"  # id, attempt, server, why: looked at once more, and not sent
WRITTEN = "written"  # ids, server, fresh: the call's last byte is written
WAIT = "wait"  # server, route, seconds: its answer asked for quiet
OUTCOME = "outcome"  # id, attempt, server, how, ran, elapsed, wait, over, read
LATE = "late"  # id: delivered by an answer that came after the attempt was given up
NOTICE = "notice"  # id, status, again_ms: owed to the platform from now on
POSTED = "posted"  # ids, fresh, status, took: one post of notices and what it heard
CONFIRMED = "confirmed"  # id: the platform has replied 204
OVER = "over"  # id, how: delivered, undeliverable, deferred, void or withdrawn; left
JOINED = "joined"  # client, peer, held: connections of clients now
LEFT = "left"  # client, why, taken, commands, age, idle
TABLE = "table"  # version, whole, count, changes [[server, destination, health]], the first hundred
STOPPING = "stopping"  # SIGTERM came
STOPPED = "stopped"  # owed: what the journal still holds
GAP = "gap"  # lost: so many events were not written (memory or disk full)

NEVER, MAYBE, YES = "never", "maybe", "yes"  # `ran` of an outcome: whether its message has run

"""Which senders send to which destination, as functions and machines without I/O. Why so: docs/design/assignment.md.

Nothing here reads a clock, a socket or a file, and no running sender imports it yet.
"""

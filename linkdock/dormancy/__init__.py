"""Destinations without work: what is kept of each, in how little room, and what a waking one is given. No I/O.

Imported by a sender only where `deploy/dormancy.json` switches it on.
"""

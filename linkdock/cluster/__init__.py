"""What the processes of one fleet share: who is there, one log, leases on it. Off by default; never waited for.

Off (no `deploy/cluster.json`, or not `"on": true`) means that nothing of this package is imported.
"""

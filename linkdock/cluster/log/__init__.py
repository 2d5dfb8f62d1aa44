"""The replicated log: pure machines without I/O. See `docs/design/cluster.md`."""

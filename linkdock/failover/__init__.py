"""Failover between zones and regions, as machines without I/O. Why so: docs/design/failover.md."""

"""Connections to backend servers: the pool that keeps them, what is learned of their idle life, and which is used."""

FRESH = -1.0  # the idle age of a connection that is new

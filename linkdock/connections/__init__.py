"""Connections to backend servers: the pool that keeps them, what is learned of their idle life, and which is used."""

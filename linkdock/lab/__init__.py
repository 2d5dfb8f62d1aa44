"""The laboratory: stand-ins for members, discovery and clients, load, and experiments. Never imported by a sender.

Its libraries are in requirements-lab.txt. Everything stays on loopback, on ports that the system gives.
"""

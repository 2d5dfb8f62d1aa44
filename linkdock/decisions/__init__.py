from .health import FLOOR, PART_MOST, Relay, tau  # noqa: F401

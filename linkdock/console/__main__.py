"""`python -m linkdock.console`: the command `linkdock` where it is not installed."""

from .main import main

main()

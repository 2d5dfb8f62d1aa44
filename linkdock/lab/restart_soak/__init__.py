"""A soak of restarts: real processes of the program under series of signals, judged by what its peers saw."""

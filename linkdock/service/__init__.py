"""Start and stop: configuration, start-up, SIGTERM."""

"""What is kept: requests, server table, connections, timers; and the journal, which outlasts the process."""

"""Stand-ins for the cases 6 to 10: clients, endpoints and the platform, and how a sender is started."""

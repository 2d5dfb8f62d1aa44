"""Stand-ins for the cases of the review: the platform's agent, endpoints, clients, and how the sender is started."""

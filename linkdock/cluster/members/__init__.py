"""Membership by SWIM with suspicion, incarnations and local health awareness: pure machines without I/O."""

FAULTS = {}

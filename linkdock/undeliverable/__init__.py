"""Messages that could not be delivered: kept beyond their end, open to inspection, each with what is proven of it.

Off by default (`deploy/undeliverable.json`). What clients and the platform hear is the same with it and without.
"""

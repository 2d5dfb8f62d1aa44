"""Who is let in: conduct of addresses, rates and caps of connections, a reserve for known clients. No I/O, no sockets.

Off by default (`deploy/admission.json`). A front carries out what the gate says; room among the connections that were
let in are `protocol.connection_table`'s matter.
"""

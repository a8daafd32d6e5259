"""Wire formats: typed messages, validation and framing. Does no I/O, so clients can use it too.

The platform's field names (`helm`, `berth`, `hulls`, ...) are used only in this package. All other
code uses the standard terms that the structs here map them to.
"""

"""Wire formats: typed messages, validation and framing. No I/O, so clients can use it too.

The users' words (`helm`, `berth`, `hulls`, ...) live only in this package; the rest of the code
speaks the field's standard terms.
"""

"""The parts of a running controller: each owns its state and is spoken to by messages."""

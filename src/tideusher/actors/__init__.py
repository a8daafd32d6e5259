"""The parts of a running controller: actors that own their state and exchange messages, and their helpers."""

"""Decisions, pure and deterministic: time and randomness are passed in, nothing here does I/O."""

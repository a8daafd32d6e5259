"""What a leader runs: state transitions, report processing, scheduling passes, and explanations for users."""

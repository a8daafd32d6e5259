"""What a leader runs: the transitions of its picture, reports, passes, and answers to why."""

"""State of jobs, machines, rentals and charges and its records in the state service; replicated to every standby."""

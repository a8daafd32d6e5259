"""What is known of jobs, machines, rentals and charges, and how it is written: what a standby follows."""

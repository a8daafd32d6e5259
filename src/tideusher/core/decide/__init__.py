"""Decisions on the cluster state, one per module: order, placement, preemption, rentals, silence, starts. Pure."""

"""Decisions on the picture, one a file: order, places, stops, rentals, silence, what may start. Pure."""

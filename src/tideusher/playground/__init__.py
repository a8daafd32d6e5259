"""In-memory stand-ins for the services around a controller, for trying tideusher and for its tests.

The controller itself imports nothing from here.
"""

"""Scale runs: real controllers beside hollow workers on one machine. Nothing of a controller imports this."""

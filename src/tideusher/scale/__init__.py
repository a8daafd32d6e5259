"""Scale runs: real controllers with simulated (hollow) workers on one machine. No controller module imports this."""

"""Runs a whole deployment on loopback, as `python -m demo`."""

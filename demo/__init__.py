"""Runs a whole deployment on loopback."""

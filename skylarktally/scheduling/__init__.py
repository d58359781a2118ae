"""Scheduling of jobs on the workers of a pool."""

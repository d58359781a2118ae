"""Scheduler: runs jobs on pools, lends instances, runs maintenance waves."""

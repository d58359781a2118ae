"""Comparisons, measurements and benchmarks."""

"""Randomized soak test that injects faults around real gateway processes."""

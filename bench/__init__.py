"""Measurements of the decision code and of the processes."""

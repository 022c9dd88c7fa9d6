"""Benchmarks of the decision code and of the VM processes."""

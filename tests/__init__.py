"""Tests, a file for each module."""

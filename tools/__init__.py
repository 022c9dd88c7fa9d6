"""Tools for developers of this repository."""

"""A query tier that fans searches out over many shards."""

__version__ = "0.1.0"

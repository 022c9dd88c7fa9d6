"""A query tier that fans searches out to many target servers."""

__version__ = "0.1.0"

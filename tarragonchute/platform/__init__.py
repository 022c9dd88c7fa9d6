"""Adapter to the users' platform: its key names, formats and store protocol.

This package makes no decisions. It decodes the platform's names into the types of the
project, and no other module depends on them.
"""

"""Adapter to the users' platform: its names, formats and calls.

Nothing here decides. Names on the wire are decoded into the product's types once, and
nothing outside this package knows them.
"""

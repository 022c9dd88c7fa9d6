"""A randomized soak of real gateway processes with faults from outside them."""

"""Randomized soak of gateway processes with faults injected from outside them."""

"""Measurements with fixed seeds; not part of the product."""

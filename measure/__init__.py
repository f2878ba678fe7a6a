"""Measurements; each prints one line for each figure: name, value, unit, bound."""

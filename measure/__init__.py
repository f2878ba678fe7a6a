"""Measurements: ``python -m measure.<module>`` prints one figure a line."""

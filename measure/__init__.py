"""Measurements of single parts of the product."""

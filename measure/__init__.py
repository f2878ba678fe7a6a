"""Measurements of the router with real processes; ``python -m measure`` runs all."""

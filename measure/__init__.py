"""Measurements: ``python -m measure`` runs them all."""

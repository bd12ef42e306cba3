"""Performance measurements; ``python -m measure`` runs the main ones."""

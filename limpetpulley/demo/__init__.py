"""A demonstration of the complete system in one process."""

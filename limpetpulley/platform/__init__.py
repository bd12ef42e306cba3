"""The users' platform: its names, formats and calls, decoded once into the project's types."""

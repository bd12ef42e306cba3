"""Which job starts next, and which is refused: import from the modules."""

__all__: list[str] = []

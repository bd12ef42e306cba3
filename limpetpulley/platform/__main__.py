"""Start the daemon on the users' platform: ``python -m limpetpulley.platform``."""

from ..loading import load_without_collection

__all__: list[str] = []

load_without_collection(".daemon", "limpetpulley.platform").main()

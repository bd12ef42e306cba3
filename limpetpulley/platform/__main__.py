"""Start the daemon on the users' platform: ``python -m limpetpulley.platform``."""

from .daemon import main

__all__: list[str] = []

main()

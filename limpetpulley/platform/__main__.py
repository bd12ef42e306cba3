"""Start the daemon on the users' platform: ``python -m limpetpulley.platform``."""

import gc

__all__: list[str] = []


def start() -> None:
    """Load the daemon and run it."""
    # Loading makes many objects and hardly any garbage; ``main`` enables the collector again.
    gc.disable()
    from .daemon import main

    main()


start()

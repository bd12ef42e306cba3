"""Loading of a program's modules, and the garbage collector's settings for its run."""

from __future__ import annotations

import gc
import importlib
from types import ModuleType

__all__ = ["load_without_collection"]

#: allocations between two runs of the cyclic garbage collector; the default uses much CPU time
GC_THRESHOLD = 20_000


def load_without_collection(name: str, package: str) -> ModuleType:
    """Load a module without collecting garbage, since loading makes hardly any.

    What was loaded stays for the whole run, so later collections do not look at it either.

    :param name: name of the module, relative to the package if it begins with a dot
    """
    gc.disable()
    try:
        return importlib.import_module(name, package)
    finally:
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD)
        gc.enable()

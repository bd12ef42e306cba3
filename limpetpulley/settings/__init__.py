"""Settings of the daemon, read from flags and environment variables."""

from .daemon import Settings, load_settings

__all__ = ["Settings", "load_settings"]

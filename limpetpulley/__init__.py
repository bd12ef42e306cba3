"""Fleet capacity and maintenance manager for jobs with deadlines."""

__all__ = ["__version__"]

__version__ = "0.1.0"

"""A report of a period, made from the daemons' structured logs."""

"""Runs the demonstration."""

from __future__ import annotations

import anyio
from absl import logging

from .walkthrough import run_demo

logging.set_verbosity(logging.FATAL)
anyio.run(run_demo)

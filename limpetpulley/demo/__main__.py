"""Run the demonstration."""

from __future__ import annotations

import anyio
from absl import logging

from .walkthrough import tell

logging.set_verbosity(logging.FATAL)
anyio.run(tell)

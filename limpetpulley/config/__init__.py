"""Configuration objects, their validation, and each daemon's replica of the configuration."""

from ..secret import digest_secret, make_secret
from .check import check_objects, find_problems
from .document import Change, diff_documents, dump_document, load_document
from .objects import (
    KINDS,
    AccessKey,
    Budget,
    ConfigObject,
    Pool,
    Queue,
    Team,
    Vm,
    VmPhase,
    Wave,
    WaveState,
    structure_object,
    unstructure_object,
)
from .replica import ConfigReplica, Record

__all__ = [
    "KINDS",
    "AccessKey",
    "Budget",
    "Change",
    "ConfigObject",
    "ConfigReplica",
    "Pool",
    "Queue",
    "Record",
    "Team",
    "Vm",
    "VmPhase",
    "Wave",
    "WaveState",
    "check_objects",
    "diff_documents",
    "digest_secret",
    "dump_document",
    "find_problems",
    "load_document",
    "make_secret",
    "structure_object",
    "unstructure_object",
]

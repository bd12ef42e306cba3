"""Views of the members, and the validity of this one."""

from .member import Collecting, Member
from .planner import (
    append_grants,
    divide,
    open_view,
    propose_view,
    release_quarantine,
    start_view,
)
from .proposer import Proposal, Proposer
from .view import Grant, MemberInfo, Quarantine, Shadow, View, ViewState, decode_view, encode_view

__all__ = [
    "Collecting",
    "Grant",
    "Member",
    "MemberInfo",
    "Proposal",
    "Proposer",
    "Quarantine",
    "Shadow",
    "View",
    "ViewState",
    "append_grants",
    "decode_view",
    "divide",
    "encode_view",
    "open_view",
    "propose_view",
    "release_quarantine",
    "start_view",
]

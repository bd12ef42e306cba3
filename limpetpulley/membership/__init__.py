"""Views of the members, and the validity of this one."""

from .member import Member, ReportCollection
from .proposer import Proposal, Proposer
from .transitions import (
    append_grants,
    divide,
    initial_view,
    open_view,
    propose_view,
    release_quarantine,
)
from .view import Grant, MemberInfo, Quarantine, Shadow, View, ViewState, decode_view, encode_view

__all__ = [
    "ReportCollection",
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
    "initial_view",
]

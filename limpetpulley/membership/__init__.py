"""Membership views, and this daemon's validity as a member."""

from .member import Member, ReportCollection
from .proposer import Proposal, Proposer
from .transitions import (
    append_grants,
    divide_permits,
    initial_view,
    open_view,
    propose_view,
    release_quarantine,
)
from .view import (
    Grant,
    MemberInfo,
    Quarantine,
    RecordLoss,
    View,
    ViewState,
    decode_view,
    encode_view,
)

__all__ = [
    "Grant",
    "Member",
    "MemberInfo",
    "Proposal",
    "Proposer",
    "Quarantine",
    "RecordLoss",
    "ReportCollection",
    "View",
    "ViewState",
    "append_grants",
    "decode_view",
    "divide_permits",
    "encode_view",
    "initial_view",
    "open_view",
    "propose_view",
    "release_quarantine",
]

"""Secrets of access keys and their digests."""

from __future__ import annotations

import hashlib
import secrets

__all__ = ["digest_secret", "make_secret"]

SECRET_BYTES = 32


def make_secret() -> str:
    """Return a new random secret as URL-safe text."""
    return secrets.token_urlsafe(SECRET_BYTES)


def digest_secret(secret: str) -> str:
    """Return the SHA-256 digest of a secret in hexadecimal.

    Secrets are long and random, so that a fast, unsalted digest cannot be reversed by guessing.

    >>> len(digest_secret("s"))
    64
    """
    return hashlib.sha256(secret.encode()).hexdigest()

"""Tests of issuing tokens and of encoding and decoding their text."""

import random

import pytest

from sesameladder.idempotency import (
    PeerIdentity,
    Token,
    TokenIssuer,
    TokenMalformed,
    is_token_text,
)

TOKEN = Token("entry-a1", 7, "entry-a2", 9, 3, 86_400.25, 2**63)


@pytest.mark.parametrize(
    "token",
    [
        TOKEN,
        Token("entry-a1", 7, None, 0, 1, 0.1),
        Token("gerät|.%", 1, "", 0, 10**12, 1e9),
    ],
)
def test_text_round_trip(token: Token) -> None:
    """Guards against tokens that change when they are encoded and decoded."""
    text = token.to_text()
    assert Token.from_text(text) == token
    assert all(c.isascii() and (c.isalnum() or c in "-_.") for c in text)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "order-4711",
        "slt1.",
        "slt1.order",
        "slt2." + TOKEN.to_text()[5:],
        TOKEN.to_text()[:-1],
        TOKEN.to_text() + "A",
        TOKEN.to_text().replace("slt1.", "slt1.A"),
        "slt1.é",
        "slt1." + "A" * 2000,
    ],
)
def test_malformed_text_is_refused(text: str) -> None:
    """Guards against decoding a caller's own key or a damaged token."""
    with pytest.raises(TokenMalformed):
        Token.from_text(text)


def test_callers_key_is_no_token() -> None:
    """Guards against treating a caller's key as a token, without a claim."""
    assert not is_token_text("6f1c0d2e-order")
    assert is_token_text(TOKEN.to_text())


def test_issuer_numbers_tokens_and_names_the_witness() -> None:
    """Guards against equal tokens and tokens that name the wrong witness."""
    issuer = TokenIssuer("entry-a1", 7, random_source=random.Random(1))
    first = issuer.issue(PeerIdentity("entry-a2", 9), 10.0)
    second = issuer.issue(None, 10.0)
    assert (first.sequence, second.sequence) == (1, 2)
    assert first.witness_identity == PeerIdentity("entry-a2", 9)
    assert second.witness_identity is None
    assert first.nonce != second.nonce


def test_home_is_not_its_own_witness() -> None:
    """Guards against a witness on its home's instance, which fails with the home."""
    with pytest.raises(ValueError, match="witness"):
        TokenIssuer("a", 1).issue(PeerIdentity("a", 2), 0.0)

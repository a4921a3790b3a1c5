"""Compute the deterministic answers of the engine stand-in."""

import hashlib

DEFAULT_MAX_TOKENS = 16
DIGEST_CHARACTERS = 8


def answer_tokens(resident: str, content: str, max_tokens: int = DEFAULT_MAX_TOKENS) -> list[str]:
    """Return the tokens that the engine generates when the last message has this content."""
    text = f"{content}|{resident}"
    digest = hashlib.sha256(text.encode()).hexdigest()[:DIGEST_CHARACTERS]
    return [f"{digest}-{index} " for index in range(max_tokens)]


def expected_answer(resident: str, content: str, max_tokens: int = DEFAULT_MAX_TOKENS) -> str:
    """Return the full text that the engine generates when the last message has this content."""
    return "".join(answer_tokens(resident, content, max_tokens))

"""Read numbers that peers write as decimal digits."""

# Python refuses to read numbers of some thousand digits.
MAX_DIGITS = 18


def parse_number(text: bytes) -> int | None:
    """Return the number that the text is, or None if it is none or has over 18 digits."""
    return int(text) if text.isdigit() and len(text) <= MAX_DIGITS else None

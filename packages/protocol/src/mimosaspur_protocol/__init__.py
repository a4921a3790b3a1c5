"""Define the messages that callers and instances exchange."""

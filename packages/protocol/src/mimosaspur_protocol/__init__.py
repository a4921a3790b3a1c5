"""Define and encode the messages that callers and instances exchange."""

"""Explain where an entry would route a request now, without sending it."""

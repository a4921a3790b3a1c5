"""Run an instance as a daemon."""

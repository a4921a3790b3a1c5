"""Provide shared helpers for the step files."""

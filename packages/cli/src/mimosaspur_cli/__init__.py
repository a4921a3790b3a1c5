"""Offer the command line for operators."""

"""Enforce workspace quotas over all entries that reach targets directly.

The coordinator sums the entries' spending and sends them what is left; no request waits for it.
"""

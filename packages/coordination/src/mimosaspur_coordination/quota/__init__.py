"""Hold workspaces to their quotas over all entries; for entries that reach targets by themselves.

The coordinator counts what all entries spend and tells them what is left; no request waits for it.
"""

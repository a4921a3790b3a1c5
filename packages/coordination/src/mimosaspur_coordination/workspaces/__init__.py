"""Authenticate requests to workspaces at entries that reach targets directly."""

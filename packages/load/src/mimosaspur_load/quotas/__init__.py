"""Play ways to hold workspaces to their quotas over many entries, in virtual time."""

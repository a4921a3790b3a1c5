"""Run an entry that reaches its targets without a process beside them."""

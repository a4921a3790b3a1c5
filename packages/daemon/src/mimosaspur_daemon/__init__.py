"""The mimosaspurd daemon: runs an instance in its configured role."""

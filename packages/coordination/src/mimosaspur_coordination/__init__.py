"""Coordinate leases and moves between instances."""

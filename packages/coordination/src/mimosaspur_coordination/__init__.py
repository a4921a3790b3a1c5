"""Coordinate leases, placement, routing and quotas between instances."""

"""Carry protocol messages over connections."""

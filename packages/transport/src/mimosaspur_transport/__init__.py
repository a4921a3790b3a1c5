"""Implement the connections and clients between processes."""

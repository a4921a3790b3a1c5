"""Soak real entry processes: seeded faults, and rules judged by what the outside saw."""

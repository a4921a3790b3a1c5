"""Simulate the external systems that mimosaspur depends on, for tests."""

"""Stand in for the outside systems of mimosaspur in its tests."""

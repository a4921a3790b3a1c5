"""Hold the records that instances keep."""

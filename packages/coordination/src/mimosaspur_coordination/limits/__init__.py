"""Share limits among entries, tolerating crashes, partitions and coordinator changes."""

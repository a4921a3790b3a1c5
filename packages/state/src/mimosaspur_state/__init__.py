"""Define the state, settings and stored records that all processes share."""

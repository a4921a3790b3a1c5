"""Find out on whose behalf a request comes; for entries that reach targets by themselves."""

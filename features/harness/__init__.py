"""Share what the features' steps need."""

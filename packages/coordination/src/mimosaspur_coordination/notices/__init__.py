"""Keep what targets say of themselves in their answers, besides their request limits."""

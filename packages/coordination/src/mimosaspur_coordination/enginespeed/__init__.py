"""Learn how fast each engine is relative to the engines of its service."""

"""Generate load and measure the answers."""

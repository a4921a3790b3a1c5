"""Share limits among entries, though they are killed, cut off or follow another coordinator."""

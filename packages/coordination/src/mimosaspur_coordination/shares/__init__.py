"""Divide the room of a service among workspaces while there isn't enough for all."""

"""Find requests that crash the targets that run them, from what all entries saw of the crashes."""

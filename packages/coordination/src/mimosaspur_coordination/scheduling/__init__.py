"""Order requests at an entry when there isn't room for all of them."""

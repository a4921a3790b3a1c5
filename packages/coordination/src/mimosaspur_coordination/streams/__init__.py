"""Keep each resumed stream at targets of the software version that began it."""

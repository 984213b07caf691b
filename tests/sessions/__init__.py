"""Golden files of whole sessions under an injected clock."""

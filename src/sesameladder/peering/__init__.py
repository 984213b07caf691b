"""Package under construction."""

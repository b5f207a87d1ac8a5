"""Small fakes round the core, in the words of the scenarios."""

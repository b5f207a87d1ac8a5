"""Names, formats and calls of the users' platform; no decision is made here."""

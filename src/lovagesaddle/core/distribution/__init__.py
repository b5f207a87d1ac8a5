"""Distribution of the configuration from the replicas to every node."""

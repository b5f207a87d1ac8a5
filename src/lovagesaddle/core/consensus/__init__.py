"""The replicated log: elections, replication, membership of replicas."""

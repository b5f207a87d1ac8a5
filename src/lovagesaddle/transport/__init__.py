"""ZeroMQ links between the processes of the product."""

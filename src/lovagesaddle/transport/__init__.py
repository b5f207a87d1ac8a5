"""ZeroMQ links between the processes of lovagesaddle."""

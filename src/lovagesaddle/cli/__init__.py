"""The lovagesaddle command line."""

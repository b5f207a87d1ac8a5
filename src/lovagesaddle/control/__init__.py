"""The lovagesaddle-control program."""

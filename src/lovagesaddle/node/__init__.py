"""The lovagesaddle-node program."""

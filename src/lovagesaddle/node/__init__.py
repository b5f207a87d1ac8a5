"""The lovagesaddle-node program: routes requests and runs local servers."""

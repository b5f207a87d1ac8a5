"""Runs the measurements of calls: `make bench`.

The others are run by their own modules, such as `python -m bench.consensus`.
"""

import sys

from bench import calls

if __name__ == "__main__":
    sys.exit(calls.main(sys.argv[1:]))

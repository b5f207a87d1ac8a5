"""Configuration distribution for a service mesh.

The public face of the package is its version; the programs are
`lovagesaddle`, `lovagesaddle-node` and `lovagesaddle-control`.
"""

__version__ = "0.1.0"

__all__ = ["__version__"]

"""Configuration distribution for a service mesh.

The package exports only its version. Its programs are `lovagesaddle`,
`lovagesaddle-node` and `lovagesaddle-control`.
"""

__version__ = "0.1.0"

__all__ = ["__version__"]

"""Tests of lovagesaddle, one module for each module of the package."""

"""The decisions of the product, without input or output."""

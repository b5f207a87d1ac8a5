"""Scripts that maintainers run on the changelog and the pages."""

"""Command line for fleet operators."""

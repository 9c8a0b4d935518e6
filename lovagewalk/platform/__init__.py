"""Adapter to the users' platform: its names and encodings, and no decisions.

Bytes become the product's events here, and the product's effects become bytes.
Nothing outside this package knows the platform's names.
"""

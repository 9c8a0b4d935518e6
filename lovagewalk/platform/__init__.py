"""Adapter to the users' platform: its names and encodings, and no decisions.

It decodes bytes into events and encodes effects as bytes. No other package
contains names of the platform's protocols and documents.
"""

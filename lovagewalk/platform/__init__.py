"""Adapter to the platform that runs the daemons; it makes no decisions.

It decodes bytes into events and encodes effects as bytes. No other package
contains names of the platform's protocols and documents.
"""

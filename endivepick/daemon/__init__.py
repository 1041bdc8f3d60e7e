"""Gevent daemon that runs the decision core and performs its input and output."""

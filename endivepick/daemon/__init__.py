"""Thin gevent daemon around the decision core."""

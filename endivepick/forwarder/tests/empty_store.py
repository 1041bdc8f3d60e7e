"""Dialect of an empty store; its paths name the kind of the feed."""

from endivepick.forwarder.ports import ChangeBatch, ListPage

__all__ = ["Dialect"]


class Dialect:
    def list_path(self, kind, _after):
        return f"/{kind.value}"

    def stale_list_path(self, kind, _after=""):
        return f"/{kind.value}?stale"

    def watch_path(self, kind, _revision, wait_s):
        return f"/{kind.value}?wait_s={wait_s}"

    def read_page(self, _kind, _body):
        return ListPage((), "", 1)

    def read_changes(self, _kind, _body):
        return ChangeBatch((), 1)

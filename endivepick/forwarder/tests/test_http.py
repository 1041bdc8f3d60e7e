import unittest

from gevent import socket

from endivepick.addresses import parse_address
from endivepick.forwarder.http import Response, http_server


class TestHttpServer(unittest.TestCase):
    def ask(self, *texts):
        """Send texts over one connection; return all data received until it closes."""
        answers = {"/ok": Response(200, b"fine"), "/no": Response(503)}
        server = http_server("127.0.0.1:0", lambda path, _: answers.get(path, NONE))
        with server as address, socket.create_connection(parse_address(address)) as c:
            for text in texts:
                c.sendall(text.encode())
            received = b""
            while data := c.recv(4096):
                received += data
        return received.decode()

    def test_several_requests_share_a_connection(self):
        request = "GET /ok?a=1 HTTP/1.1\r\nHost: x\r\n\r\n"
        last = "GET /no HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        text = self.ask(request, request, last)
        self.assertEqual(text.count("200 OK"), 2)
        self.assertEqual(text.count("503 Service Unavailable"), 1)
        self.assertIn("fine", text)

    def test_other_paths_are_not_found(self):
        last = "GET /else HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        self.assertIn("404 Not Found", self.ask(last))

    def test_invalid_request_closes_the_connection(self):
        self.assertEqual(self.ask("\x01\x02\x03 not HTTP\r\n\r\n"), "")


NONE = Response(404)

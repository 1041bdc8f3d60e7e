import unittest

from endivepick.forwarder.datagrams import datagram_socket


class TestDatagramSocket(unittest.TestCase):
    def test_send_returns_whether_the_kernel_accepted_the_packet(self):
        nothing = (lambda *_: None, self.fail, lambda *_: None, lambda: 0.0)
        with datagram_socket("127.0.0.1:0", *nothing) as datagrams:
            host, port = datagrams.address.split(":")
            self.assertTrue(datagrams.send(b"packet", host, int(port)))
            self.assertFalse(datagrams.send(b"packet", host, 0))
            self.assertFalse(datagrams.send(b"x" * 100_000, host, int(port)))


if __name__ == "__main__":
    unittest.main()

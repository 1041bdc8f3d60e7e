import collections
import socket
import struct

from standins.control import parse_address
from standins.endpoint import call
from standins.process import wait_until
from standins.tests.programs import TIMEOUT_S, ProgramTestCase

COUNT = 100


class TestFabric(ProgramTestCase):
    part = "fabric"

    def setUp(self):
        self.instances = {name: self.udp_socket() for name in ("a1", "a2", "b1")}
        self.caller = self.udp_socket()

    def udp_socket(self):
        sock = self.enterContext(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
        sock.bind(("127.0.0.1", 0))
        sock.settimeout(TIMEOUT_S)
        return sock

    def listed(self):
        return [
            {
                "name": name,
                "zone": name[0],
                "data_address": "{}:{}".format(*sock.getsockname()),
                "peer_address": "127.0.0.1:1",
            }
            for name, sock in self.instances.items()
        ]

    def start_with_list(self, **settings):
        fixed = [{**i, "state": "live"} for i in self.listed()]
        control = {"instances": fixed, **settings.pop("control", {})}
        self.start(control=control, **settings)
        self.vips = [parse_address(a) for a in self.addresses["callers"]]
        self.instances_address = parse_address(self.addresses["instances"])

    def send(self, count=COUNT):
        for number in range(count):
            self.caller.sendto(struct.pack("!I", number), self.vips[0])

    def received_by_caller(self, count):
        datagrams = [self.caller.recv(100) for _ in range(count)]
        return [struct.unpack("!I", datagram)[0] for datagram in datagrams]

    def answer(self, name, numbers):
        host, port = self.caller.getsockname()
        prefix = socket.inet_aton(host) + struct.pack("!H", port)
        for number in numbers:
            datagram = prefix + struct.pack("!I", number)
            self.instances[name].sendto(datagram, self.instances_address)

    def counts(self):
        return collections.Counter(self.stats()["counts"])

    def wait_count(self, total, *names):
        wait_until(
            lambda: sum(self.counts()[name] for name in names) == total,
            f"{total} of {names}",
        )

    def test_sprays_over_all_instances_with_the_prefix(self):
        self.start_with_list()
        self.send()
        self.wait_count(COUNT, "sent")
        sent_to = self.stats()["sent_to"]
        self.assertEqual(sorted(sent_to), ["a1", "a2", "b1"])
        host, port = self.caller.getsockname()
        for name, count in sent_to.items():
            for _ in range(count):
                datagram = self.instances[name].recv(100)
                prefix = socket.inet_aton(host) + struct.pack("!H", port)
                self.assertEqual((datagram[:6], len(datagram)), (prefix, 10))

    def test_same_seed_same_choices(self):
        seen = []
        for seed in (5, 5, 6):
            self.start_with_list(seed=seed, control={"to_instances": {"loss": 0.5}})
            self.send()
            self.wait_count(COUNT, "sent", "lost")
            seen.append((self.stats()["sent_to"], self.counts()))
        self.assertEqual(seen[0], seen[1])
        self.assertNotEqual(seen[0], seen[2])

    def test_answer_of_any_instance_leaves_from_the_address_used_last(self):
        self.start_with_list(callers=["127.0.0.1:0", "127.0.0.2:0"])
        for rounds, vip in enumerate((self.vips[1], self.vips[0], self.vips[1])):
            self.caller.sendto(b"x", vip)
            self.wait_count(2 * rounds + 1, "sent")
            self.answer("b1", [7])
            self.assertEqual(self.caller.recvfrom(100), (b"\0\0\0\7", vip))

    def test_loss_and_duplicates_in_the_direction_set(self):
        self.start_with_list(
            control={"to_callers": {"loss": 0.2, "duplicate": 0.3}},
        )
        self.send(1)
        self.answer("a1", range(COUNT))
        # Each answer is sent, sent twice if duplicated, or lost; in addition, one
        # datagram was sent to an instance.
        wait_until(
            lambda: (
                (c := self.counts())["sent"] + c["lost"] - c["duplicated"] == COUNT + 1
            ),
            "all answers handled",
        )
        counts = self.counts()
        self.assertTrue(0 < counts["lost"] < COUNT)
        got = collections.Counter(self.received_by_caller(counts["sent"] - 1))
        self.assertEqual(len(got), COUNT - counts["lost"])
        twice = [number for number, times in got.items() if times == 2]
        self.assertEqual(len(twice), counts["duplicated"])

    def test_delay_reorders_and_loses_nothing(self):
        delays = {"delay_ms_min": 0, "delay_ms_max": 50}
        self.start_with_list(control={"to_callers": delays})
        self.answer("a1", range(COUNT))
        numbers = self.received_by_caller(COUNT)
        self.assertEqual(sorted(numbers), list(range(COUNT)))
        self.assertNotEqual(numbers, sorted(numbers))

    def test_cut_zone_gets_and_gives_nothing(self):
        self.start_with_list(control={"cut_zones": ["a"]})
        self.send()
        self.wait_count(COUNT, "sent", "cut")
        self.assertEqual(list(self.stats()["sent_to"]), ["b1"])
        self.answer("a1", [1])
        self.wait_count(COUNT + 1, "sent", "cut")
        self.answer("b1", [2])
        self.assertEqual(self.received_by_caller(1), [2])
        cut = self.counts()["cut"]
        self.control(avoid_cut=True)
        self.send()
        self.wait_count(COUNT * 2 + 2, "sent", "cut")
        self.assertEqual(self.counts()["cut"], cut)

    def test_pin_and_cut_of_single_instances(self):
        self.start_with_list(control={"only_instances": ["a2"]})
        self.send()
        self.wait_count(COUNT, "sent")
        self.assertEqual(self.stats()["sent_to"], {"a2": COUNT})
        self.answer("b1", [1])
        self.assertEqual(self.received_by_caller(1), [1])
        self.control(cut_instances=["a2"])
        self.send()
        self.wait_count(COUNT, "cut")

    def test_follows_the_list_of_the_platform(self):
        self.part = "platform"
        self.start(instances=self.listed())
        platform, control = self.addresses["api"], self.addresses["control"]
        self.part = "fabric"
        self.start(platform=platform, poll_interval_s=0.01)
        self.addCleanup(self.process.terminate, TIMEOUT_S)
        wait_until(lambda: len(self.stats()["instances"]) == 3, "the first list")
        call(control, "PUT", "/control", {"outage": "refuse"})
        wait_until(lambda: self.counts()["poll_failed"] > 0, "a failed poll")
        self.assertEqual(len(self.stats()["instances"]), 3)
        call(control, "PUT", "/control/instances", self.listed()[:1])
        call(control, "PUT", "/control", {"outage": None})
        wait_until(lambda: self.stats()["instances"] == ["a1"], "the second list")

    def test_without_instances_datagrams_are_lost(self):
        self.start()
        self.vips = [parse_address(self.addresses["callers"][0])]
        self.send(1)
        self.wait_count(1, "no_instance")

import unittest
from collections import Counter

from endivepick.membership import MembershipSettings, PeerState, Send
from endivepick.membership._probe_rings import WatchRings
from endivepick.membership.measure_fleet import settled_fleet
from endivepick.membership.peer_messages import Ping

SETTINGS = MembershipSettings()
FLEETS = {
    "equal zones": {f"entry-{n}": f"z{n % 3}" for n in range(150)},
    "two zones": {f"entry-{n}": f"z{n % 2}" for n in range(150)},
    "one zone": {f"entry-{n}": "z" for n in range(60)},
    "a small zone": {f"entry-{n}": "z1" if n % 25 == 0 else "z2" for n in range(150)},
    "an instance alone": {f"entry-{n}": f"z{n > 0:d}" for n in range(150)},
}


def watched(fleet, lost=()):
    """Return by name whom it watches."""
    present = {name: zone for name, zone in fleet.items() if name not in lost}
    found = {}
    for own, own_zone in present.items():
        rings = WatchRings(SETTINGS, own, own_zone)
        for name, zone in present.items():
            rings.add(name, zone)
        found[own] = set(rings.targets())
    return found


def watchers(fleet, lost=()):
    """Return by name who watches it."""
    found = {name: set() for name in fleet if name not in lost}
    for own, names in watched(fleet, lost).items():
        for name in names:
            found[name].add(own)
    return found


class RingsTest(unittest.TestCase):
    def test_each_is_watched_by_several_and_watches_a_bounded_number(self):
        for kind, fleet in FLEETS.items():
            with self.subTest(kind):
                counts = [len(names) for names in watchers(fleet).values()]
                self.assertGreaterEqual(min(counts), 3)
                self.assertLessEqual(max(counts), SETTINGS.watchers)
                most = max(map(len, watched(fleet).values()))
                self.assertLessEqual(most, 4 + 4 * 8)

    def test_each_is_watched_from_its_own_zone_and_from_another(self):
        for kind in ("equal zones", "two zones"):
            fleet = FLEETS[kind]
            for name, names in watchers(fleet).items():
                zones = Counter(fleet[watcher] == fleet[name] for watcher in names)
                self.assertGreaterEqual(min(zones[True], zones[False]), 2, name)

    def test_a_lost_zone_leaves_watchers_to_all_and_is_watched_itself(self):
        fleet = FLEETS["two zones"]
        lost = {name for name, zone in fleet.items() if zone == "z0"}
        for name, names in watchers(fleet).items():
            self.assertGreaterEqual(len(names - lost), 2, name)

    def test_one_that_goes_changes_few_pairs(self):
        fleet = FLEETS["equal zones"]
        before, after = watched(fleet), watched(fleet, {"entry-7"})
        changed = [name for name in after if before[name] != after[name]]
        self.assertLessEqual(len(changed), 2 * SETTINGS.watchers)

    def test_the_order_of_news_does_not_matter(self):
        fleet = FLEETS["equal zones"]
        rings = WatchRings(SETTINGS, "entry-0", "z0")
        for name in reversed(fleet):
            rings.add(name, "elsewhere")
            rings.targets()
        for name in list(fleet)[1::2]:
            rings.remove(name)
        rings.targets()
        for name, zone in fleet.items():
            rings.add(name, zone)
        self.assertEqual(set(rings.targets()), watched(fleet)["entry-0"])


class LargeFleetTest(unittest.TestCase):
    SIZE = 54

    def setUp(self):
        self.loop = settled_fleet(self.SIZE, zones=3)

    def deaths(self):
        news = [getattr(action, "new", None) for _, _, action in self.loop.actions]
        return {n.name for n in news if n and n.state is PeerState.DEAD}

    def wait_until_live(self, count):
        nodes = self.loop.nodes.values()
        self.loop.run_until(
            lambda: all(len(node.live_names()) == count for node in nodes), 90
        )

    def lose(self, names):
        for name in names:
            self.loop.kill(name)
        self.wait_until_live(self.SIZE - len(names))
        self.loop.run(20)
        self.assertEqual(self.deaths(), set(names))

    def test_links_do_not_grow_with_the_fleet(self):
        self.loop.run(30)
        sent = [
            (name, action.to_name)
            for _, name, action in self.loop.actions
            if isinstance(action, Send)
        ]
        links = Counter(name for name, _ in set(sent))
        mean = sum(links.values()) / self.SIZE
        self.assertLess(mean, 2 * SETTINGS.watchers + 6)
        self.assertEqual(self.deaths(), set())

    def test_lost_rack_is_dropped_and_the_rest_stay(self):
        self.lose([f"entry-{number}" for number in range(0, 27, 3)])

    def test_lost_zone_is_dropped_and_the_rest_stay(self):
        self.lose([f"entry-{number}" for number in range(0, self.SIZE, 3)])

    def test_watchers_of_one_that_are_lost_with_it_hide_it_from_nobody(self):
        victim = "entry-5"
        nodes = self.loop.nodes.items()
        lost = [n for n, node in nodes if victim in node._table.rings.targets()]
        self.assertGreaterEqual(len(lost), 3)
        self.lose([*lost, victim])

    def test_cut_zone_comes_back(self):
        away = {name for name, me in self.loop.me.items() if me.zone == "z1"}
        self.loop.is_cut = lambda one, other: (one in away) != (other in away)
        self.loop.run(40)
        for name, node in self.loop.nodes.items():
            mine = away if name in away else set(self.loop.me) - away
            self.assertEqual(set(node.live_names()), mine)
        self.loop.is_cut = lambda one, other: False
        self.wait_until_live(self.SIZE)

    def test_paused_instance_wakes_without_declaring_others_dead(self):
        self.loop.paused.add("entry-2")
        self.loop.run(20)
        self.loop.resume("entry-2")
        self.wait_until_live(self.SIZE)
        self.loop.run(20)
        self.assertLessEqual(self.deaths(), {"entry-2"})

    def test_loss_ejects_nobody(self):
        self.loop.loss = 0.1
        self.loop.run(90)
        self.assertEqual(self.deaths(), set())

    def test_a_dead_peer_is_not_probed_by_all(self):
        self.lose(["entry-2"])
        self.loop.actions.clear()
        self.loop.run(20)
        probes = [
            action
            for _, _, action in self.loop.actions
            if isinstance(action, Send)
            and action.to_name == "entry-2"
            and isinstance(action.message, Ping)
        ]
        # Each of the 53 others would ask 0.8 times a second.
        self.assertLess(len(probes) / 20, 32)
        self.assertGreater(len(probes), 0)


if __name__ == "__main__":
    unittest.main()

import unittest
from collections import Counter

from endivepick.cli.tests._status_zone import SETTINGS, ZONE, StatusZone
from endivepick.records.status_groups import compute_group_number

SETTLE_S = 60.0


def names(count):
    return [f"entry-{number}" for number in range(count)]


class StatusZoneTest(unittest.TestCase):
    """What operators see of a zone while its writers change and disagree."""

    def assert_whole(self, zone, owners=None):
        """Check that each record, target and instance is shown in full."""
        view = zone.shown()
        lacking = [row.instance for row in view.instances if row.age_s is None]
        self.assertEqual(lacking, [])
        self.assertEqual({row.state for row in view.instances}, {"ready"})
        owned = {row.service: row.owner for row in view.targets}
        expected = owners if owners is not None else zone.nodes
        self.assertEqual(
            [name for name in expected if owned[name] != name], [], zone.now_s
        )
        late = [row.record for row in view.records if row.not_reached]
        self.assertEqual(late, [])

    def settled(self, count):
        zone = StatusZone(names(count))
        zone.run(SETTLE_S)
        self.assert_whole(zone)
        return zone

    def test_zone_of_today_has_one_object(self):
        zone = self.settled(8)
        self.assertEqual(set(zone.objects), {ZONE})

    def test_large_zone_is_shown_whole_by_objects_of_bounded_size(self):
        zone = self.settled(100)
        self.assertEqual(len(zone.objects), 1 + 13)
        rows = [len(stored.body["instances"]) for stored in zone.objects.values()]
        self.assertLessEqual(max(rows), 3 * SETTINGS.group_instances)
        self.assertEqual(zone.objects[ZONE].body["records"], {})

    def test_rate_of_writes_is_bounded(self):
        zone = self.settled(60)
        start_s = zone.now_s
        zone.run(120.0)
        late = [(name, size) for at_s, name, size in zone.written if at_s > start_s]
        total, largest = Counter(), Counter()
        for name, size in late:
            total[name] += size
            largest[name] = max(largest[name], size)
        for name, size in total.items():
            allowed = 120.0 * SETTINGS.write_bytes_per_s + largest[name]
            self.assertLessEqual(size, allowed, name)
        self.assertGreater(len(total), 2)

    def test_dead_writers_are_followed_by_others(self):
        zone = self.settled(40)
        some = next(iter(zone.nodes.values()))
        writers = {node.group.writer for node in zone.nodes.values()}
        writers.add(some.status_writer)
        for name in writers:
            del zone.nodes[name]
        left = list(zone.nodes)
        zone.run(2.0)
        zone.believe(left)
        # Rows of the living stay while the new writers do not know their parts yet.
        zone.run(SETTLE_S, check=lambda: self.assert_rows_stay(zone, left))
        zone.run(SETTLE_S)
        self.assertEqual(
            {row.instance for row in zone.shown().instances} - set(left), set()
        )
        self.assert_whole(zone, left)

    def assert_rows_stay(self, zone, members):
        rows = {row.instance: row for row in zone.shown().instances}
        lacking = [name for name in members if rows[name].age_s is None]
        self.assertEqual(lacking, [])
        owners = {row.service: row.owner for row in zone.shown().targets}
        lost = [name for name in members if owners[name] != name]
        self.assertEqual(lost, [])

    def test_two_halves_that_disagree_for_a_while_lose_nothing(self):
        for count in (8, 9, 40):
            with self.subTest(instances=count):
                zone = self.settled(count)
                everyone = list(zone.nodes)
                writer = zone.nodes[everyone[0]].status_writer
                without = [name for name in everyone if name != writer]
                half = without[: count // 2]

                def check(zone=zone, members=without):
                    self.assert_rows_stay(zone, members)

                zone.believe(without, half)
                zone.run(25.0, check)
                zone.believe(everyone, half)
                zone.run(SETTLE_S, check)
                self.assert_whole(zone)

    def test_instance_that_sees_other_groups_is_shown_all_the_same(self):
        zone = self.settled(40)
        everyone = list(zone.nodes)
        writer = zone.nodes[everyone[0]].status_writer
        node = next(
            node
            for name, node in zone.nodes.items()
            if name != writer
            and compute_group_number(name, 3) != compute_group_number(name, 5)
        )
        others = [name for name in everyone if name not in (writer, node.name)]
        for seen in (8, 24):
            node.believe([writer, node.name, *others[: seen - 2]])
            zone.run(150.0)
            self.assert_whole(zone)

    def test_zone_that_grows_and_shrinks_by_a_group_loses_no_row(self):
        zone = self.settled(16)
        everyone = list(zone.nodes)
        staying = everyone[:8]
        for members in (staying, everyone, staying, everyone):
            zone.believe(members, everyone)
            zone.run(SETTLE_S, check=lambda: self.assert_rows_stay(zone, staying))
        self.assert_whole(zone)

    def test_outage_of_the_platform_is_followed_by_a_whole_status(self):
        zone = self.settled(20)
        zone.outage = True
        zone.run(120.0)
        zone.outage = False
        zone.run(SETTLE_S)
        self.assert_whole(zone)
        before = zone.revision
        zone.run(30.0)
        self.assertGreater(zone.revision, before)


if __name__ == "__main__":
    unittest.main()

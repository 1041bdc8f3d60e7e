"""Point 2: a packet meant for one service never reaches another service.

What ran is read from the targets' logs: nothing may run under the name of another
service or of another incarnation, so what a target refused as misdirected runs there
only if it is sent again, to the incarnation that refused it.
"""

import unittest
from contextlib import contextmanager
from dataclasses import replace

import msgspec

from endivepick.core.catalog import ActiveKeyring
from endivepick.core.keyring import keyring_from_body
from endivepick.core.token import KEY_ID_SIZE_BYTES, MAC_SIZE_BYTES, FlowToken
from endivepick.records import KEYRING_KIND, SERVICE_KIND
from endivepick.tests.metrics_reader import read_metrics
from endivepick.tests.promises._configuration_case import (
    EXPORTS,
    NORTH,
    SESSIONS,
    SOUTH,
)
from endivepick.tests.promises._forged_token_caller import Forger, seal
from endivepick.tests.promises._load_case import RUNS, LoadedTestCase
from standins.checker import Promise, check
from standins.evidence import read_evidence
from standins.process import wait_until

FORGED_COPIES = 30
FURTHER_ANSWERS = 100
SECOND_SECRET_HEX = "b8" * 32
YEAR_S = 365 * 86_400


class TestServiceIsolation(LoadedTestCase):
    def setUp(self):
        super().setUp()
        self.addCleanup(self.assert_isolated)

    # Evidence.

    def assert_isolated(self):
        """Check the logs of all targets."""
        for path in self.cluster.launcher.logs("targets"):
            refused = set()
            for line in self._tail.read(path):
                sent = (line.get("key"), line.get("named_incarnation"))
                if line["event"] == "misdirected":
                    refused.add(sent)
                if line["event"] in RUNS:
                    self.assertEqual(line["named_service"], line["service"], line)
                    own = str(line["incarnation"])
                    self.assertEqual(line["named_incarnation"], own, line)
                    self.assertNotIn(sent, refused, line)
        launcher = self.cluster.launcher
        logs = (launcher.logs("callers"), launcher.logs("targets"), [])
        report = check(read_evidence(*logs))
        for promise in (Promise.NOT_RUN, Promise.ONCE, Promise.WHOLE):
            self.assertEqual(report.broken(promise), [])

    def misdirected(self):
        return self.target_events("misdirected")

    def answers(self):
        paths = self.cluster.launcher.logs("callers")
        lines = [line for path in paths for line in self._tail.read(path)]
        return [line for line in lines if line.get("verdict") == "whole"]

    def wait_more_answers(self):
        wanted = len(self.answers()) + FURTHER_ANSWERS
        wait_until(lambda: len(self.answers()) >= wanted, "more answers")

    # Addresses that change hands.

    def lead(self, target, process):
        """Let another process answer at the address of a target."""
        address = process.ready["address"]
        self.cluster.faults.add_route(
            f"target:{target.plan.name}", target.plan.zone, address
        )

    def write_swapped(self, first, second):
        """Write the records of two targets whose addresses were exchanged."""
        pairs = ((first, second), (second, first))
        versions = {}
        for target, other in pairs:
            service = target.plan.service

            def change(body, target=target, other=other):
                for entry in body["targets"]:
                    if entry["name"] == target.plan.name:
                        entry["address"] = other.address

            stored = self.platform.change_record(service, change)
            versions[service] = stored["version"]
        return versions

    @contextmanager
    def north_left_behind(self):
        """Cut a zone off from platform and peers, but not from the targets."""
        self.cut_platform(NORTH)
        self.cut_peers(NORTH)
        yield
        self.cluster.heal()
        self.wait_agreed()

    def test_addresses_exchanged_between_services(self):
        first, second = (self.cluster.targets[f"{s}-1"] for s in (SESSIONS, EXPORTS))
        self.addCleanup(self.lead, first, first.process)
        self.addCleanup(self.lead, second, second.process)
        with self.load(SESSIONS, EXPORTS):
            self.wait_busy(SESSIONS, "sessions-1", "sessions-2")
            self.wait_busy(EXPORTS, "exports-1", "exports-2")
            with self.north_left_behind():
                # Probes fail, so only the targets themselves can tell.
                for name in self.names(NORTH):
                    for target in (first, second):
                        if self.seen(name, target):
                            self.blind(name, target)
                before = len(self.misdirected())
                self.lead(first, second.process)
                self.lead(second, first.process)
                wait_until(lambda: len(self.misdirected()) > before, "a refusal")
                versions = self.write_swapped(first, second)
                for service, version in versions.items():
                    self.wait_in_force(version, service, self.names(SOUTH))
                self.wait_more_answers()
            for service, version in versions.items():
                self.wait_in_force(version, service)
            wait_until(self.all_serve, "all targets to serve")
            self.wait_busy(SESSIONS, "sessions-1", "sessions-2")
            self.wait_busy(EXPORTS, "exports-1", "exports-2")

    def test_target_replaced_at_its_address_by_another_service(self):
        old = self.cluster.targets["sessions-2"]
        plan = replace(old.plan, service=EXPORTS, name="exports-3")
        with self.load(SESSIONS, EXPORTS):
            self.wait_busy(SESSIONS, "sessions-2")
            with self.north_left_behind():
                self.addCleanup(self.cluster.start_target, old.plan)
                self.cluster.kill_target("sessions-2")
                new = self.cluster.start_target(plan)
                self.addCleanup(self.remove_target, plan.name)
                self.lead(old, new.process)

                def take_over(body):
                    entry = new.record_entry() | {"address": old.address}
                    body["targets"].append(entry)

                stored = self.platform.change_record(EXPORTS, take_over)
                self.wait_in_force(stored["version"], EXPORTS, self.names(SOUTH))
                self.wait_more_answers()
            self.wait_in_force(stored["version"], EXPORTS)
            self.wait_more_answers()

    def remove_target(self, name):
        self.cluster.kill_target(name)
        del self.cluster.targets[name]

    def test_target_restarted_at_its_address(self):
        holder = self.owner_of(SESSIONS)
        with self.load(SESSIONS):
            self.wait_busy(SESSIONS, "sessions-1")
            old = self.cluster.targets["sessions-1"]
            forger, token = self.pinned_to("sessions-1")
            self.blind(holder, old)
            before = len(self.misdirected())
            # No connection fails in between, after which flows would leave the target.
            new = self.cluster.start_target(old.plan)
            self.assertEqual(new.address, old.address)

            def refused():
                forger.send_request(token, "to-an-earlier-incarnation")
                return len(self.misdirected()) > before

            wait_until(refused, "a refusal")
            old.process.kill()
            self.assertEqual(self.runs_in(new), 0)
            self.cluster.heal()
            wait_until(self.all_serve, "all targets to serve")
            wait_until(lambda: self.runs_in(new), "work at the new incarnation")

    def test_refused_request_runs_at_the_new_incarnation(self):
        holder = self.owner_of(SESSIONS)
        other = self.cluster.targets["sessions-2"]
        with self.load(SESSIONS):
            self.wait_busy(SESSIONS, "sessions-1")
            old = self.cluster.targets["sessions-1"]
            self.blind(holder, old)
            other.control(drain=True)
            wait_until(
                lambda: self.seen(holder, other)["state"] == "draining",
                "the other target to drain",
            )
            new = self.cluster.start_target(old.plan)
            wait_until(lambda: self.keys_at(new, "misdirected"), "a refusal")
            old.process.kill()
            self.cluster.heal()
            refused = self.keys_at(new, "misdirected")
            wait_until(
                lambda: refused & self.keys_at(new, "start"),
                "a refused request to run at the new incarnation",
            )
            other.control(drain=False)

    def keys_at(self, target, event):
        """Return the keys of the requests of which a target logged an event."""
        lines = self._tail.read(target.log)
        return {line["key"] for line in lines if line["event"] == event}

    def pinned_to(self, target):
        """Open flows until one is pinned to a target; return its token."""
        forger = self.forger()

        def token():
            sealed = forger.open(SESSIONS).token
            return sealed if self.decode(sealed).target == target else None

        return forger, wait_until(token, f"a flow at {target}")

    def runs_in(self, target):
        return sum(line["event"] in RUNS for line in self._tail.read(target.log))

    # Tokens.

    def forger(self):
        forger = Forger.connected(self.cluster.fabric_address)
        self.addCleanup(forger.close)
        return forger

    def keys(self):
        stored = self.platform.get(KEYRING_KIND, "tokens")
        return ActiveKeyring(keyring_from_body(stored["body"]))

    def dropped(self, reason):
        """Count packets that the instances dropped for a reason."""
        name = f'endivepick_packets_dropped_total{{reason="{reason}"}}'
        instances = self.cluster.instances.values()
        return sum(read_metrics(i.http_address).get(name, 0.0) for i in instances)

    def assert_all_dropped(self, sealed, reason):
        """Send copies of a request under a token to all instances."""
        forger = self.forger()
        echo = f"{self.id().rpartition('.')[2]}.{reason}"
        before = self.dropped(reason)
        for _ in range(FORGED_COPIES):
            forger.send_request(sealed, echo)
        wanted = before + FORGED_COPIES
        wait_until(lambda: self.dropped(reason) >= wanted, f"{reason} tokens dropped")
        self.assert_not_run(echo)

    def assert_not_run(self, echo):
        """Check that no target ran a request."""
        echoes = [event["echo"] for event in self.target_events(*RUNS)]
        self.assertNotIn(echo, echoes)

    def test_token_of_one_service_used_for_another(self):
        opened = self.forger().open(SESSIONS)
        token = self.decode(opened.token)
        other = msgspec.structs.replace(token, service=EXPORTS, target="exports-1")
        payload = msgspec.msgpack.encode(other)
        key_id = opened.token[:KEY_ID_SIZE_BYTES]
        mac = opened.token[-MAC_SIZE_BYTES:]
        self.assert_all_dropped(key_id + payload + mac, "forged")

    def decode(self, sealed):
        payload = sealed[KEY_ID_SIZE_BYTES:-MAC_SIZE_BYTES]
        return msgspec.msgpack.decode(payload, type=FlowToken)

    def test_forged_and_old_tokens(self):
        keys = self.keys()
        genuine = self.decode(self.forger().open(EXPORTS).token)
        old = msgspec.structs.replace(genuine, issued_at_s=genuine.issued_at_s - YEAR_S)
        self.assert_all_dropped(seal(keys, old), "expired")
        body = self.platform.get(KEYRING_KIND, "tokens")["body"]
        body["keys"][0]["secret_hex"] = SECOND_SECRET_HEX
        stranger = ActiveKeyring(keyring_from_body(body))
        self.assert_all_dropped(seal(stranger, genuine), "forged")
        body["current"] = body["keys"][0]["key_id"] = 9
        stranger = ActiveKeyring(keyring_from_body(body))
        self.assert_all_dropped(seal(stranger, genuine), "unknown_key")
        sealed = bytearray(seal(keys, genuine))
        sealed[len(sealed) // 2] ^= 1
        self.assert_all_dropped(bytes(sealed), "forged")

    def test_token_of_a_deleted_service(self):
        body = self.platform.get(SERVICE_KIND, EXPORTS)["body"]
        forger = self.forger()
        token = forger.open(EXPORTS).token
        self.delete(EXPORTS)
        self.addCleanup(self.platform.put, SERVICE_KIND, EXPORTS, body)
        self.wait_in_force(0, EXPORTS)
        for seq in range(1, FORGED_COPIES):
            forger.send_request(token, "of-a-deleted-service", seq)
        with self.load(SESSIONS):
            self.wait_busy(SESSIONS, "sessions-1", "sessions-2")
        self.assert_not_run("of-a-deleted-service")


if __name__ == "__main__":
    unittest.main()

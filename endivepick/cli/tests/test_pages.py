import re
import unittest
from pathlib import Path

import endivepick
from endivepick.client import CallerSettings
from endivepick.core.dispatch.messages import FailReason, RefusalReason
from endivepick.forwarder.settings import ForwarderSettings
from endivepick.forwarding import ResetReason
from endivepick.forwarding.mechanisms import Mechanisms

ROOT = Path(endivepick.__file__).parent.parent
CORE = ROOT / "endivepick" / "core"
REASON_PATTERN = re.compile(
    r"(?:Count\(\s*\"packets_dropped\",|InvalidError\("
    r"|_refuse_unclaimed\(flow, request,)"
    r"\s*\"([a-z_]+)\""
)
LINK_PATTERN = re.compile(r"\]\((?!https?:)([^)#]+)")


class PagesTest(unittest.TestCase):
    def test_every_reason_is_explained(self):
        reasons = {reason.value for reason in (*RefusalReason, *FailReason)}
        for path in CORE.glob("*.py"):
            reasons.update(REASON_PATTERN.findall(path.read_text()))
        page = (ROOT / "docs" / "operators" / "refusals.md").read_text()
        explained = set(re.findall(r"^\| `([a-z_]+)` \|", page, re.MULTILINE))
        self.assertIn("forged", reasons)
        self.assertEqual(reasons - explained, set())

    def test_defaults_of_the_caller_are_those_of_its_settings(self):
        page = (ROOT / "docs" / "caller.md").read_text()
        table = page.partition("## Settings")[2].partition("\n\n`caller.counts`")[0]
        shown = {}
        for names, defaults in re.findall(r"^\| (`.*?) \| (.*?) \|", table, re.M):
            values = [value.replace(",", "") for value in defaults.split(", ")]
            shown.update(zip(re.findall(r"`(\w+)`", names), values, strict=True))
        fields = CallerSettings.model_fields
        self.assertEqual(set(shown), set(fields))
        del shown["fabric_address"]
        defaults = {name: fields[name].default for name in shown}
        self.assertEqual({name: float(shown[name]) for name in shown}, defaults)

    def test_every_mechanism_is_explained(self):
        page = (ROOT / "docs" / "operators" / "forwarder.md").read_text()
        section = page.partition("## Mechanisms")[2].partition("\n## ")[0]
        explained = re.findall(r"^\| `([a-z_]+)` \|", section, re.MULTILINE)
        self.assertEqual(tuple(explained), Mechanisms.__struct_fields__)

    def test_every_setting_of_a_forwarder_is_explained(self):
        page = (ROOT / "docs" / "operators" / "forwarder.md").read_text()
        section = page.partition("## Settings")[2].partition("\n## ")[0]
        rows = re.findall(r"^\| (`.*?) \|", section, re.MULTILINE)
        explained = {name for row in rows for name in re.findall(r"`(\w+)`", row)}
        self.assertEqual(explained, set(ForwarderSettings.__struct_fields__))

    def test_every_reason_of_a_reset_is_explained(self):
        page = (ROOT / "docs" / "OPERATIONS.md").read_text()
        section = page.partition("### Why was my request turned away")[2]
        section = section.partition("\n## ")[0]
        explained = re.findall(r"^\| `([a-z_]+)` \|", section, re.MULTILINE)
        reasons = {reason.value for reason in ResetReason}
        self.assertEqual(reasons - set(explained), set())

    def test_links_between_pages_lead_somewhere(self):
        pages = [ROOT / "README.md", ROOT / "CONTRIBUTING.md"]
        for page in (*pages, *(ROOT / "docs").rglob("*.md")):
            for link in LINK_PATTERN.findall(page.read_text()):
                self.assertTrue((page.parent / link).exists(), f"{page.name}: {link}")

import unittest
from pathlib import Path

import endivepick
from endivepick.settings import explain, explain_markdown
from endivepick.settings.schema import SettingsModel

PAGE = Path(endivepick.__file__).parent.parent / "docs" / "operators" / "settings.md"


class ExplainTest(unittest.TestCase):
    def test_names_all_keys(self):
        text = explain()
        for section, group in SettingsModel.model_fields.items():
            for name in group.annotation.model_fields:
                self.assertIn(f"{section}.{name} (default: ", text)

    def test_units_follow_the_names(self):
        shown = "status.write_bytes_per_s (default: 1000; unit: bytes per second;"
        self.assertIn(shown, explain())

    def test_page_is_up_to_date(self):
        self.assertEqual(PAGE.read_text(encoding="utf-8"), explain_markdown())

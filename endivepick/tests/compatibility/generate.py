"""Writes one encoded example of each structure of this build.

``python -m endivepick.tests.compatibility.generate`` adds the next numbered file to
the folder ``samples`` if a structure has changed.  Earlier files stay as they are:
they show that messages of those builds are still understood.
"""

import json
from pathlib import Path

from endivepick.tests.compatibility._message_families import WIRES, example, named

FOLDER = Path(__file__).parent / "samples"


def samples():
    """Return the samples of this build."""
    return [
        {
            "wire": name,
            "encoded": wire.encode(example(kind)).hex(),
            "value": named(example(kind)),
        }
        for name, wire in WIRES.items()
        for kind in wire.kinds
    ]


def sample_files():
    """Return the files of samples, oldest first."""
    return sorted(FOLDER.glob("*.json"))


def read_samples(path):
    """Return the samples of a file."""
    return json.loads(path.read_text())


def main():
    files = sample_files()
    if files and read_samples(files[-1]) == samples():
        print("No structure has changed.")
        return
    FOLDER.mkdir(exist_ok=True)
    path = FOLDER / f"{len(files) + 1:04}.json"
    lines = ",\n".join(json.dumps(sample) for sample in samples())
    path.write_text(f"[\n{lines}\n]\n")
    print(f"wrote {path.name}")


if __name__ == "__main__":
    main()

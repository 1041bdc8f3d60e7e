import re
import urllib.request

LINE_PATTERN = re.compile(r"^([a-z_]+(?:\{[^}]*\})?) (\S+)$", re.MULTILINE)


def read_metrics(http_address):
    """Return the values of an instance's metrics by name and labels, as written."""
    with urllib.request.urlopen(f"http://{http_address}/metrics", timeout=10) as page:
        text = page.read().decode()
    return {name: float(value) for name, value in LINE_PATTERN.findall(text)}

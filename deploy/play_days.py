"""Plays the days of ``deploy/days`` and prints a table of what they gave.

    python3 deploy/play_days.py BENCH SITE... [--days NAME,...]

BENCH is the path of the users' program, SITE that of a site file. One day is
played at a time; the program's own output goes to ``target/days``.
"""

from __future__ import annotations

import argparse
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[1]
DAYS = ROOT / "deploy" / "days"
OUTPUT = ROOT / "target" / "days"
_ROW = re.compile(r"^(?P<day>\S+) +\d+/\d+ +(?P<score>\S+) +(?P<rest>.*)$")


def main() -> int:
    """Play each day on each site; return 1 if one broke a rule."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench")
    parser.add_argument("sites", nargs="+")
    parser.add_argument("--days", default="")
    arguments = parser.parse_args()
    wanted = [name for name in arguments.days.split(",") if name]
    OUTPUT.mkdir(parents=True, exist_ok=True)
    broken = False
    for site in arguments.sites:
        for path in sorted(DAYS.glob("*.toml")):
            if wanted and path.stem not in wanted:
                continue
            row = _play(arguments.bench, site, path)
            broken = broken or "BROKEN" in row
            print(f"{pathlib.Path(site).stem:15} {row}", flush=True)
    return int(broken)


def _play(bench: str, site: str, path: pathlib.Path) -> str:
    """Return the table's row of one day."""
    command = [bench, "run", site, str(path), "--why", f"day {path.stem}"]
    done = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, check=False
    )
    output = OUTPUT / f"{pathlib.Path(site).stem}-{path.stem}.txt"
    output.write_text(done.stdout + done.stderr)
    for line in done.stdout.splitlines():
        if _ROW.match(line):
            return line
    return f"{path.stem}: no figures, see {output.relative_to(ROOT)}"


if __name__ == "__main__":
    sys.exit(main())

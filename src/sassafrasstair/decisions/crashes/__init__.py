"""Requests that crash instances: told from the others, and kept apart."""

from __future__ import annotations

from sassafrasstair.decisions.crashes._fingerprints import fingerprint
from sassafrasstair.decisions.crashes._fingerprints import FINGERPRINT_BYTES
from sassafrasstair.decisions.crashes._fingerprints import format_fingerprint
from sassafrasstair.decisions.crashes._ledger import complete
from sassafrasstair.decisions.crashes._ledger import Evidence
from sassafrasstair.decisions.crashes._ledger import evidence
from sassafrasstair.decisions.crashes._ledger import expire
from sassafrasstair.decisions.crashes._ledger import Ledger
from sassafrasstair.decisions.crashes._ledger import mark_familiar
from sassafrasstair.decisions.crashes._ledger import merge
from sassafrasstair.decisions.crashes._ledger import new_ledger
from sassafrasstair.decisions.crashes._ledger import record
from sassafrasstair.decisions.crashes._ledger import reports
from sassafrasstair.decisions.crashes._records import Crash
from sassafrasstair.decisions.crashes._records import Key
from sassafrasstair.decisions.crashes._records import Report
from sassafrasstair.decisions.crashes._records import Run
from sassafrasstair.decisions.crashes._records import RUNS_MAX
from sassafrasstair.decisions.crashes._standings import judge
from sassafrasstair.decisions.crashes._standings import Standing
from sassafrasstair.decisions.crashes._standings import Verdict

__all__ = [
    "FINGERPRINT_BYTES",
    "RUNS_MAX",
    "Crash",
    "Evidence",
    "Key",
    "Ledger",
    "Report",
    "Run",
    "Standing",
    "Verdict",
    "complete",
    "evidence",
    "expire",
    "fingerprint",
    "judge",
    "mark_familiar",
    "merge",
    "new_ledger",
    "record",
    "reports",
    "format_fingerprint",
]

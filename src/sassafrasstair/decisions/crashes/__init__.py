"""Detection and isolation of requests that crash instances."""

from __future__ import annotations

from sassafrasstair.decisions.crashes._fingerprints import fingerprint
from sassafrasstair.decisions.crashes._fingerprints import FINGERPRINT_BYTES
from sassafrasstair.decisions.crashes._fingerprints import format_fingerprint
from sassafrasstair.decisions.crashes._ledger import clear_completed
from sassafrasstair.decisions.crashes._ledger import Evidence
from sassafrasstair.decisions.crashes._ledger import evidence_against
from sassafrasstair.decisions.crashes._ledger import expire
from sassafrasstair.decisions.crashes._ledger import Ledger
from sassafrasstair.decisions.crashes._ledger import mark_familiar
from sassafrasstair.decisions.crashes._ledger import merge_reports
from sassafrasstair.decisions.crashes._ledger import new_ledger
from sassafrasstair.decisions.crashes._ledger import record_crash
from sassafrasstair.decisions.crashes._ledger import reports_since
from sassafrasstair.decisions.crashes._records import Crash
from sassafrasstair.decisions.crashes._records import CrashKey
from sassafrasstair.decisions.crashes._records import Report
from sassafrasstair.decisions.crashes._records import Run
from sassafrasstair.decisions.crashes._records import RUNS_MAX
from sassafrasstair.decisions.crashes._standings import decide_standing
from sassafrasstair.decisions.crashes._standings import Standing
from sassafrasstair.decisions.crashes._standings import Verdict

__all__ = [
    "FINGERPRINT_BYTES",
    "RUNS_MAX",
    "Crash",
    "Evidence",
    "CrashKey",
    "Ledger",
    "Report",
    "Run",
    "Standing",
    "Verdict",
    "clear_completed",
    "evidence_against",
    "expire",
    "fingerprint",
    "decide_standing",
    "mark_familiar",
    "merge_reports",
    "new_ledger",
    "record_crash",
    "reports_since",
    "format_fingerprint",
]

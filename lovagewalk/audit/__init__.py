"""The hash-chained audit trail of committed changes."""

from ._trail import (
    AUDIT_FILE_NAME,
    AuditRecord,
    AuditTrail,
    VerificationResult,
    build_record,
    parse_line,
    verify_lines,
)

__all__ = [
    "AUDIT_FILE_NAME",
    "AuditRecord",
    "AuditTrail",
    "VerificationResult",
    "build_record",
    "parse_line",
    "verify_lines",
]

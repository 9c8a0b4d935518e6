"""Error numbers, limits, and column names of the protocol that instances speak."""

READ_ONLY_ERRNO = 1290
LOCK_WAIT_ERRNO = 1205
DEADLOCK_ERRNO = 1213
TOO_MANY_ERRNO = 1040
SYNTAX_ERRNO = 1064
DUPLICATE_ERRNO = 1062
# This wait is shorter than the default deadline of a request.
LOCK_WAIT_S = 2.0
# The timeout covers a fetch that the primary holds open for 0.1 s and two round
# trips between regions.
FETCH_TIMEOUT_S = 0.3
STATUS_NAMES = ("incarnation", "role", "term", "position", "last_term", "linked")
LOG_NAMES = ("term", "matched", "entries")
GROUP_USER = "group"

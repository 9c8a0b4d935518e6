"""Error numbers, limits, and column names of the protocol that instances speak."""

READ_ONLY_ERRNO = 1290
LOCK_WAIT_TIMEOUT_ERRNO = 1205
DEADLOCK_ERRNO = 1213
TOO_MANY_CONNECTIONS_ERRNO = 1040
SYNTAX_ERRNO = 1064
DUPLICATE_KEY_ERRNO = 1062
# This wait is shorter than the default deadline of a request.
LOCK_WAIT_TIMEOUT_S = 2.0
# The timeout covers a fetch that the primary holds open for 0.1 s and two round
# trips between regions.
FETCH_TIMEOUT_S = 0.3
STATUS_COLUMNS = ("incarnation", "role", "term", "position", "last_term", "linked")
LOG_COLUMNS = ("term", "matched", "entries")
GROUP_USER = "group"

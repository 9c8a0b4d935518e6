"""Files that last: synced writes, replacement by rename, and errors with codes."""

from ._files import close_file, disk_errors, remove_file, replace_file, sync_folder

__all__ = ["close_file", "disk_errors", "remove_file", "replace_file", "sync_folder"]

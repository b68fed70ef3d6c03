"""What the logs of the daemons tell."""

import json

OWNER_EVENT = 'owner_at_work'


def read(path, kinds):
    """Return the events of some kinds in the log of a daemon."""
    rows = []
    with open(path, errors='replace') as lines:
        for line in lines:
            if not any(f'"event":"{kind}"' in line for kind in kinds):
                continue
            try:
                rows.append(json.loads(line))
            except ValueError:
                # The daemon was killed while it wrote the line.
                continue
    return rows


def read_all(paths, kinds):
    """Return the events of all logs in the order of their times."""
    rows = [row for path in paths for row in read(path, kinds)]
    return sorted(rows, key=lambda row: row['time_s'])


def current_owner(daemons):
    """Return the name of the daemon that was last to become owner."""
    paths = [daemon.log_path for daemon in daemons]
    rows = read_all(paths, [OWNER_EVENT])
    return rows[-1]['daemon'] if rows else ''

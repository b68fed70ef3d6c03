"""Tells of the owner's records that the store will never take."""

# Keys that are remembered, so that each is logged once.
MAX_LOGGED_KEYS = 1000


class RefusedRecords:
    """Counts refused records, and logs each key once.

    :param events: the decision log
    :param metrics: metrics of the daemon
    """

    def __init__(self, events, metrics):
        self._events = events
        self._metrics = metrics
        self._logged_keys = set()

    def note(self, partition, record, why):
        """Record that a record is left out.

        :param why: what is wrong with it
        """
        kind, _, _ = record.key.partition('/')
        self._metrics.note_refused_record(kind)
        if record.key in self._logged_keys:
            return
        if len(self._logged_keys) >= MAX_LOGGED_KEYS:
            self._logged_keys.clear()
        self._logged_keys.add(record.key)
        self._events.write(
            'record_refused',
            partition=partition.name,
            key=record.key,
            size_bytes=record.size_bytes,
            why=why[:160],
        )

"""Size of the pages to ask for, which follows what the link carries."""

import attrs

INITIAL_PAGE_BYTES = 128 * 1024
MIN_PAGE_BYTES = 16 * 1024
MAX_PAGE_BYTES = 1024 * 1024
# Pages become smaller if one takes longer, since a reader knows nothing newer
# meanwhile, and larger if a full one takes less, to save calls.
LONG_TRANSFER_S = 0.4
SHORT_TRANSFER_S = 0.1


@attrs.define
class PageSize:
    """Size of the next page to ask for.

    :ivar size_bytes: most bytes to ask for
    """

    size_bytes: int = INITIAL_PAGE_BYTES

    def note_transfer(self, page_bytes, took_s):
        """Follow the transfer of a page.

        :param took_s: time from its first part to its last
        """
        if took_s > LONG_TRANSFER_S:
            smaller_bytes = min(self.size_bytes, page_bytes) // 2
            self.size_bytes = max(MIN_PAGE_BYTES, smaller_bytes)
        elif took_s < SHORT_TRANSFER_S and page_bytes > self.size_bytes // 2:
            self.size_bytes = min(MAX_PAGE_BYTES, self.size_bytes * 2)

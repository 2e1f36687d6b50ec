"""Which parts of the handling of heavy load the operators switch on or off."""

from __future__ import annotations

import msgspec


class LoadSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The operators' choices; a part without a choice follows the platform's settings.

    The field names are the keys of the settings file, and those of `load_parts.LoadParts`.
    """

    learned_capacity: bool | None = None
    """Learn the speed and concurrency of servers from their responses."""

    timely_queue: bool | None = None
    """Let queued requests that would be late give way, and refuse them at once."""

    organisation_shares: bool | None = None
    """Place queued requests by fair shares of their organisations."""

    booked_returns: bool | None = None
    """Book a time to return for callers that are refused for lack of capacity."""

    host_loads: bool | None = None
    """Name hosts in the directory by what they can take."""

    byte_account: bool | None = None
    """Bound the bytes held for requests and responses by the host's memory."""

    @property
    def choices(self) -> dict[str, bool]:
        """The parts that are switched on or off, by name."""
        by_name = msgspec.structs.asdict(self)
        return {name: chosen for name, chosen in by_name.items() if chosen is not None}

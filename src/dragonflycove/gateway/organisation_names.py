"""Names the organisation of a request by its headers, before the request has been read."""

from __future__ import annotations

from typing import TYPE_CHECKING

import result

from dragonflycove.gateway import relay_codec
from dragonflycove.platform import requests

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dragonflycove.fleet import store_view


class OrganisationNames:
    """Looks up organisations by the configuration in force."""

    def __init__(self, view: store_view.StoreView) -> None:
        """Create a look-up.

        Args:
            view: Configuration as this node knows it.
        """
        self._store_view = view

    def of_caller(self, headers: Sequence[tuple[bytes, bytes]]) -> str:
        """Return the organisation of a caller's request; empty if it has none.

        Args:
            headers: Headers of the request; names in lower case.
        """
        configuration = self._store_view.configuration
        if configuration is None:
            return ""
        organisation = configuration.organisation_by_key.get(requests.read_key(headers) or "")
        return organisation.name if organisation else ""

    def of_relayed(self, headers: Sequence[tuple[bytes, bytes]]) -> str:
        """Return the organisation of a request that another node relays; empty if it has none.

        Args:
            headers: Headers of the request; names in lower case.
        """
        decoded = relay_codec.decode(headers)
        return (decoded.ok_value.organisation or "") if isinstance(decoded, result.Ok) else ""

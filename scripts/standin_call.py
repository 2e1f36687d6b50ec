"""Sends one HTTP request to a stand-in and prints the response body.

Usage: standin_call.py METHOD URL [JSON]
"""

from __future__ import annotations

import sys
import urllib.request


def main(arguments: list[str]) -> int:
    """Send the request and print the response body.

    Args:
        arguments: Method, URL and optionally a JSON body.

    Returns:
        The exit status; HTTP errors and timeouts raise.
    """
    method, url, *body = arguments
    data = body[0].encode() if body else None
    request = urllib.request.Request(url, data, {"Content-Type": "application/json"}, method=method)
    with urllib.request.urlopen(request, timeout=5) as response:
        print(response.read().decode())
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

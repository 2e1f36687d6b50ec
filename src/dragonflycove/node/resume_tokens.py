"""Tokens with which callers resume a stream at any node."""

from __future__ import annotations

from dragonflycove.attempts import attempts as attempt_values


def format_resume_token(point: attempt_values.ResumePoint) -> str:
    """Format the token with which a caller can resume a stream at any node.

    Args:
        point: Server and attempt that run the stream.

    Returns:
        The server, the attempt and the index of the attempt's first frame in the caller's stream,
        as `server~attempt~index`.
    """
    return f"{point.server_id}~{point.attempt}~{point.base_index}"


def parse_resume_token(token: str) -> attempt_values.ResumePoint | None:
    """Parse a token in the form of `format_resume_token`.

    Args:
        token: Token sent by the caller.

    Returns:
        Server and attempt that run the stream, or `None` if the token is malformed.
    """
    parts = token.split("~")
    if len(parts) != 3 or not parts[0] or not parts[1] or not parts[2].isdigit():
        return None
    return attempt_values.ResumePoint(parts[0], parts[1], int(parts[2]))

"""Tokens with which callers resume a stream at any node."""

from __future__ import annotations

from dragonflycove.attempts import attempts as attempt_values


def format_resume_token(point: attempt_values.ResumePoint) -> str:
    """Return the token with which a caller resumes at any node.

    Args:
        point: Where the stream runs.

    Returns:
        `server~attempt~base`.
    """
    return f"{point.server_id}~{point.attempt}~{point.base_index}"


def parse_resume_token(token: str) -> attempt_values.ResumePoint | None:
    """Parse a resume token.

    Args:
        token: The token.

    Returns:
        Where the stream runs, or `None` for what is no token.
    """
    parts = token.split("~")
    if len(parts) != 3 or not parts[0] or not parts[1] or not parts[2].isdigit():
        return None
    return attempt_values.ResumePoint(parts[0], parts[1], int(parts[2]))

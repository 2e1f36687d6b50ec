"""Checks that the output of engine stand-ins is complete and belongs to its prompt."""

from __future__ import annotations

from dragonflycove.standins import engine_streams
from dragonflycove.values import requests


class StreamCheck:
    """Checks the output of one request token by token.

    A stand-in derives each token from a hash of its prompt and from the token's index. An engine
    that continues the output of another one gets the original prompt with the output so far
    appended, and counts its tokens from 0.
    """

    def __init__(self, prompt: str, max_tokens: int) -> None:
        """Create a check that has received no token.

        Args:
            prompt: Prompt of the request.
            max_tokens: Number of tokens of the complete output.
        """
        self._prompt = prompt
        self._max_tokens = max_tokens
        self._faults: list[str] = []
        self.reset()

    def reset(self) -> None:
        """Discard the output before the request is resent; recorded faults stay."""
        self.received = 0
        """Number of received tokens."""
        self._text = ""
        self._engine_prompt_hash = _last_prefix_hash(self._prompt)
        self._engine_base_index = 0
        self._finished = False

    def on_token(self, index: int, token: str, finish: str | None) -> None:
        """Check the next token.

        Args:
            index: Id of its event: the token's index in the caller's stream.
            token: Text of the token.
            finish: Finish reason if it is the last token, else None.
        """
        if index != self.received:
            self._faults.append(f"received event {index} instead of {self.received}")
        if token != engine_streams.output_token(
            self._engine_prompt_hash, self.received - self._engine_base_index
        ):
            self._switch_engine(token)
        self.received += 1
        self._text += token
        self._finished = finish is not None

    def _switch_engine(self, token: str) -> None:
        """Accept a token as the first one of another engine, or record a fault."""
        self._engine_prompt_hash = _last_prefix_hash(self._prompt + self._text)
        self._engine_base_index = self.received
        if token != engine_streams.output_token(self._engine_prompt_hash, 0):
            self._faults.append(f"event {self.received} belongs to another prompt: {token!r}")

    def faults(self, answered: bool) -> tuple[str, ...]:
        """Return the faults of the output.

        Args:
            answered: Whether the node marked the stream as complete.

        Returns:
            One message for each fault; empty if there are none.
        """
        faults = list(self._faults)
        if answered and not self._finished:
            faults.append(f"the output ended after {self.received} tokens without a finish reason")
        if answered and self.received != self._max_tokens:
            faults.append(f"the output has {self.received} of {self._max_tokens} tokens")
        return tuple(faults)


def _last_prefix_hash(prompt: str) -> int:
    hashes = requests.hash_prefix(prompt)
    return hashes[-1] if hashes else 0

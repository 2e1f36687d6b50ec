"""Checks that an answer of the engine stand-in is whole and belongs to its prompt."""

from __future__ import annotations

from dragonflycove.standins import engine_streams
from dragonflycove.values import requests


class AnswerCheck:
    """Follows one answer token by token.

    A token of the stand-in names the prompt that the engine was sent and its place in the answer.
    Where another engine goes on, its prompt is the first one with the tokens given so far.
    """

    def __init__(self, prompt: str, max_tokens: int) -> None:
        """Create the check.

        Args:
            prompt: The prompt.
            max_tokens: Tokens that the answer has.
        """
        self._prompt = prompt
        self._max_tokens = max_tokens
        self._faults: list[str] = []
        self.restart()

    def restart(self) -> None:
        """Forget the answer, since the request is sent anew."""
        self.received = 0
        """Tokens received."""
        self._text = ""
        self._prompt_hash = _hash(self._prompt)
        self._base = 0
        self._finished = False

    def take(self, index: int, token: str, finish: str | None) -> None:
        """Take the next token.

        Args:
            index: Its place in the caller's stream.
            token: Its text.
            finish: Why the answer ends with it.
        """
        if index != self.received:
            self._faults.append(f"frame {index} came where {self.received} was due")
        if token != engine_streams.output_token(self._prompt_hash, self.received - self._base):
            self._go_on_elsewhere(token)
        self.received += 1
        self._text += token
        self._finished = finish is not None

    def _go_on_elsewhere(self, token: str) -> None:
        """Accept the first token of another engine, which has the answer so far as prompt."""
        self._prompt_hash = _hash(self._prompt + self._text)
        self._base = self.received
        if token != engine_streams.output_token(self._prompt_hash, 0):
            self._faults.append(f"frame {self.received} belongs to another prompt: {token!r}")

    def faults(self, answered: bool) -> tuple[str, ...]:
        """Return what is wrong with the answer.

        Args:
            answered: Whether the node said that it is whole.

        Returns:
            One sentence for each fault.
        """
        faults = list(self._faults)
        if answered and not self._finished:
            faults.append(f"the answer ended after {self.received} tokens without a finish")
        if answered and self.received != self._max_tokens:
            faults.append(f"the answer has {self.received} of {self._max_tokens} tokens")
        return tuple(faults)


def _hash(prompt: str) -> int:
    hashes = requests.hash_prefix(prompt)
    return hashes[-1] if hashes else 0

"""A serving layer for language-model prompts whose lengths differ widely."""

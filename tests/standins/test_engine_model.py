"""The deterministic model of the stand-in engines."""

import unittest

from medlarvale.completions import tokens
from medlarvale.standins.engine_model import (
    ChatMessage,
    chat_prompt,
    expected_answer,
    prefix_hashes,
    token_of_word,
    token_text,
    tokenize,
)


class EngineModelTest(unittest.TestCase):
    def test_tokens_are_stable(self) -> None:
        """Guards against a hash that differs between processes or versions."""
        # The first value is the low 31 bits of the published XXH3_64 of empty input,
        # 0x2D06800538D394C2.
        for word, token in (("", 0x38D394C2), ("ice", 1034349960)):
            with self.subTest(word=word):
                self.assertEqual(token_of_word(word), token)
        self.assertEqual(
            tokenize(" ice\n cleats "), [token_of_word("ice"), token_of_word("cleats")]
        )
        chat = [ChatMessage("system", "be brief"), ChatMessage("user", "ice")]
        self.assertEqual(chat_prompt(chat), tokenize("<|system|> be brief <|user|> ice"))
        self.assertEqual(token_text(7), " w7")

    def test_prompt_hashes_match_those_of_the_entry_host(self) -> None:
        """Guards against prefix hashes that differ between the scheduler and the engine."""
        words = tokenize(" ".join(f"word{number}" for number in range(600)))
        self.assertEqual(words[:1], [tokens.token_of_word("word0")])
        self.assertEqual(prefix_hashes(words), tokens.prefix_hashes(words))
        self.assertEqual(len(prefix_hashes(words)), 2)

    def test_answers_differ_between_prompts_and_share_prefixes(self) -> None:
        """Guards against swapped answers that a test could not distinguish."""
        one, other = tokenize("two pairs please"), tokenize("two pairs pleased")
        self.assertNotEqual(expected_answer(one, 8), expected_answer(other, 8))
        self.assertEqual(expected_answer(one, 8)[:5], expected_answer(one, 5))
        self.assertEqual(len(set(expected_answer(one, 8))), 8)

    def test_prefix_hashes_cover_whole_blocks(self) -> None:
        """Guards against cache hits on prompts that differ before the end of a block."""
        prompt = prefix_hashes([1, 2, 3, 4], 2)
        for other, shared in (([1, 2, 3, 4, 5], 2), ([1, 2, 3, 5], 1), ([2, 2, 3, 4], 0)):
            with self.subTest(other=other):
                equal = [a == b for a, b in zip(prompt, prefix_hashes(other, 2), strict=True)]
                self.assertEqual(equal, [i < shared for i in range(2)])

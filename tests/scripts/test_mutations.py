"""Guards against mutations that show nothing about the tests, because the code has changed."""

from __future__ import annotations

import ast
import unittest

from scripts.mutations import REPOSITORY, read_mutations


class MutationListTest(unittest.TestCase):
    def test_each_mutation_changes_the_present_code(self) -> None:
        """Guards against an entry whose text was edited, moved or repeated in its file."""
        for mutation in read_mutations():
            with self.subTest(mutation.name):
                text = (REPOSITORY / mutation.file).read_text()
                self.assertEqual(text.count(mutation.old), 1, mutation.old)
                self.assertNotEqual(mutation.old, mutation.new)

    def test_each_mutation_leaves_code_that_can_be_parsed(self) -> None:
        """Guards against an entry that makes all tests fail, whatever they check."""
        for mutation in read_mutations():
            with self.subTest(mutation.name):
                text = (REPOSITORY / mutation.file).read_text()
                ast.parse(text.replace(mutation.old, mutation.new))

    def test_each_mutation_has_tests(self) -> None:
        """Guards against an entry whose tests were renamed or removed."""
        for mutation in read_mutations():
            with self.subTest(mutation.name):
                found = list((REPOSITORY / "tests").rglob(mutation.tests))
                self.assertTrue(found, f"no file matches {mutation.tests}")

    def test_each_mutation_has_its_own_name(self) -> None:
        """Guards against a name from which a report does not show which fault was introduced."""
        names = [mutation.name for mutation in read_mutations()]
        self.assertEqual(len(names), len(set(names)))

"""Tests of the check for types that are defined twice: one that it does not see crashed every entry VM of the failure proofs."""

import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[3] / "scripts"))
import typenames  # noqa: E402


class TypeNames(unittest.TestCase):
    def test_the_product_defines_each_type_once(self):
        texts = {path: (typenames.ROOT / path).read_text() for path in typenames.list_product_sources(typenames.ROOT)}
        self.assertGreater(len(texts), 100)
        self.assertEqual(typenames.find_duplicate_types(texts), [])

    def test_a_second_definition_is_reported(self):
        texts = {"a.h": "struct OwnerRecord {\n", "b.h": "struct OwnerRecord {\n", "c.h": "struct OwnerRecord;\n"}
        self.assertEqual(typenames.find_duplicate_types(texts), [("OwnerRecord", ["a.h", "b.h"])])

    def test_a_derived_type_is_reported(self):
        texts = {"a.cpp": "class Worker : public Base\n{\n", "b.cpp": "class Worker\n{\n"}
        self.assertEqual(typenames.find_duplicate_types(texts), [("Worker", ["a.cpp", "b.cpp"])])

    def test_an_enumeration_and_a_struct_of_one_name_are_reported(self):
        texts = {"a.h": "enum class TaskState {\n", "b.h": "struct TaskState {\n"}
        self.assertEqual(typenames.find_duplicate_types(texts), [("TaskState", ["a.h", "b.h"])])

    def test_types_in_unnamed_namespaces_are_apart(self):
        text = "namespace {\n\nstruct Pending {\n    int m_count;\n};\n\n} // namespace\n"
        self.assertEqual(typenames.find_duplicate_types({"a.cpp": text, "b.cpp": text}), [])


if __name__ == "__main__":
    unittest.main()

"""Reports types of one namespace that are defined in two files of the product.

Two definitions of one name break the rule that a program has one definition of each type: the linker keeps the inline functions of
one of them for both, without a warning, and the process crashes or misreads the other. Definitions inside an unnamed namespace, and
nested types such as Class::Private, are not visible to other files and do not count.
"""

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
# Each of these is linked into at least one program together with all the others.
PRODUCT = ("core", "scheduling", "recovery", "platform", "service", "ctl")
DEFINITION = re.compile(r"^(?:struct|class|enum class|enum) (\w+)(?: final)?(?: :[^:].*)?\s*(?:\{.*)?$")
UNNAMED_BEGIN, UNNAMED_END = "namespace {", "} // namespace"


def definitions(text):
    """Names of the types that a source file defines at the level of its namespace."""
    unnamed = False
    for line in text.splitlines():
        if line.strip() == UNNAMED_BEGIN:
            unnamed = True
        elif line.strip() == UNNAMED_END:
            unnamed = False
        elif not unnamed and not line.rstrip().endswith(";"):
            match = DEFINITION.match(line)
            if match:
                yield match.group(1)


def list_product_sources(root):
    command = ["git", "-C", str(root), "ls-files", "--cached", "--others", "--exclude-standard", "*.cpp", "*.h"]
    listed = subprocess.run(command, capture_output=True, text=True, check=True).stdout.split()
    return [path for path in listed if path.split("/")[0] in PRODUCT and not any(part in path for part in ("/generated/", "/unittests/", "/benchmarks/"))]


def find_duplicate_types(texts):
    """(name, files) of each name that two files define; @p texts maps a path to its text."""
    found = {}
    for path, text in texts.items():
        for name in definitions(text):
            found.setdefault(name, set()).add(path)
    return [(name, sorted(paths)) for name, paths in sorted(found.items()) if len(paths) > 1]


def main():
    texts = {path: (ROOT / path).read_text() for path in list_product_sources(ROOT)}
    found = find_duplicate_types(texts)
    for name, paths in found:
        print(f"{name} is defined in {' and '.join(paths)}; rename one, or move it into an unnamed namespace")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())

"""Reports types of the product that are defined in two files under the same name.

Two definitions of one name violate the one-definition rule: without a warning, the linker uses the inline functions of one type for
both, and the process crashes or misreads objects of the other. Types in an unnamed namespace and nested types such as Class::Private
cannot collide with other files and are ignored.
"""

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
# For each of these folders, at least one program links its code together with that of all the others.
PRODUCT = ("core", "scheduling", "recovery", "platform", "service", "ctl")
DEFINITION = re.compile(r"^(?:struct|class|enum class|enum) (\w+)(?: final)?(?: :[^:].*)?\s*(?:\{.*)?$")
UNNAMED_BEGIN, UNNAMED_END = "namespace {", "} // namespace"


def defined_types(text):
    """Yields the names of the types that a source file defines at namespace level."""
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
    """Returns (name, paths) for each type name that several files define. @p texts maps each path to the text of the file."""
    found = {}
    for path, text in texts.items():
        for name in defined_types(text):
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

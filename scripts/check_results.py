"""check_results.py: every function that reports an error has a result that callers may not ignore

The compiler refuses an ignored result where a declaration says so; this looks that each
declaration with a GError does, and that no condition is followed by nothing.
"""
import re
import subprocess
import sys

MARK = "G_GNUC_WARN_UNUSED_RESULT"
DECLARATION = re.compile(r"^(comet_\w+)\(([^;{}]*GError \*\*error)\)\s*([A-Z_]*)\s*;", re.MULTILINE)
# a condition after which nothing is done
EMPTY = re.compile(r"^\s*(?:if \(.*\)|else)\s*(?:;|\{\s*\})\s*$", re.MULTILINE)


def files(pattern):
    names = subprocess.run(["git", "ls-files", "-co", "--exclude-standard", pattern],
                           capture_output=True, text=True, check=True).stdout.split()
    return [name for name in names if not name.endswith((".pb.h", ".pb.c"))]


def main():
    faults = []
    for name in files("*.h"):
        for found in DECLARATION.finditer(open(name).read()):
            if found.group(3) != MARK:
                faults.append(f"{name}: {found.group(1)} reports an error without {MARK}")
    for name in files("*.c"):
        for found in EMPTY.finditer(open(name).read()):
            faults.append(f"{name}: nothing is done after: {found.group(0).strip()}")
    print("\n".join(faults) or "no result is ignored")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())

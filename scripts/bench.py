"""Benchmarks; every result is one JSON object a line."""
import sys


def main():
    name = sys.argv[1] if len(sys.argv) > 1 else ""
    if name == "policy":
        import bench_policy as bench
    elif name == "slopes":
        import bench_slopes as bench
    elif name == "overhead":
        import bench_overhead as bench
    elif name == "decide":
        import bench_decide as bench
    elif name == "directory":
        import bench_directory as bench
    elif name == "bulk":
        import bench_bulk as bench
    else:
        print("usage: bench.sh policy|slopes|overhead|decide|directory|bulk [OPTION...]", file=sys.stderr)
        return 2
    return bench.main(sys.argv[2:])


if __name__ == "__main__":
    sys.exit(main())

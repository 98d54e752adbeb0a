"""test_stops.py: replaces all VMs by planned stops under load; no response is cut off and every process exits with 0"""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts"))
import soak  # noqa: E402


def main():
    run = soak.Soak(seed=5, seconds=16, kinds=["rolling"])
    try:
        summary, wrong = run.run()
        print(summary)
        if wrong or not summary["faults"].get("rolling"):
            raise SystemExit("a check of the soak test failed, or no VM was replaced")
    finally:
        run.fleet.close()


if __name__ == "__main__":
    main()

"""Crowds of misbehaving clients against the real programs on loopback.

usage: crowd.py BINARY CASE | crowd.py --list

Starts the processes with lowered limits, lets a small crowd misbehave and
checks that every process lives, that its memory and open descriptors stay
within its limits, and that an ordinary caller is answered. Exits 1 if a check
fails. Asserts no time; waits end only where a check can no longer pass.
"""
import asyncio
import sys

from cases import CASES, run
from fleet import Failure


def main():
    if sys.argv[1:] == ["--list"]:
        print("\n".join(CASES))
        return 0
    binary, name = sys.argv[1:]
    try:
        print(f"{name}: passed; {asyncio.run(run(name, binary))}")
        return 0
    except Failure as failure:
        print(f"{name}: FAILED: {failure}")
        return 1


if __name__ == "__main__":
    sys.exit(main())

#!/bin/bash
# A version that turns bad late in its term is ordered. TROUBLE=0: the version stays good.
exec "$(dirname "$0")/../stand-2/run-case.sh" late-version "$(cd "$(dirname "$0")" && pwd)/record.txt"

#!/bin/bash
# A control machine is replaced, and later another one loses its disk. TROUBLE=0: neither happens.
exec "$(dirname "$0")/../stand-2/run-case.sh" lost-disk "$(cd "$(dirname "$0")" && pwd)/record.txt"

#!/bin/sh
# The stand-ins are Python programs that use the standard library alone: nothing is compiled.
# Fails if they can't run here.
python3 -c 'import asyncio, ctypes, tomllib' || {
    echo "the stand-ins need Python 3.11 or later" >&2
    exit 1
}

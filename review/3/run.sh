#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "not run: python3 is missing"; exit 2; }
timeout -k 1 118 python3 -B case.py
case $? in
    0) exit 0 ;;
    1) exit 1 ;;
    *) exit 2 ;;
esac

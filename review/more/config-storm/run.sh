#!/bin/bash
exec timeout -k 5 110 python3 -B "$(dirname "$0")/case.py"

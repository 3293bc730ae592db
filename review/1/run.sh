#!/bin/sh
# Plays the case. With TROUBLE=0 it does the same without the disruption, and must pass.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
case "${TROUBLE:-1}" in
	0) mode=calm ;;
	*) mode=trouble ;;
esac
exec node case.mjs "$mode"

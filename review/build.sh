#!/bin/sh
# Builds the stand-ins that the scripts start. They are plain JavaScript, so there is
# nothing to compile: this checks that each of them can be loaded by this Node.js.
cd "$(dirname "$0")" || exit 1
for file in stand-ins/*.mjs [1-5]/*.mjs; do
	node --check "$file" || exit 1
done

#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without
# the disruption. Needs the build of the deploy file and review/build-2.sh.
set -uo pipefail
cd "$(dirname "$0")/../.."
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
[[ -x target/vanilladeck-gateway && -x build/review-2/case-9 ]] || exit 2
build/review-2/case-9 "$folder" review/9/record.txt
code=$?
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac

#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without
# the disruption. Needs the build of the deploy file and review/build-2.sh.
set -uo pipefail
cd "$(dirname "$0")/../.."
[[ -x target/vanilladeck-gateway && -x build/review-2/case-6 ]] || exit 2
folder=$(mktemp -d) || exit 2
case_pid=
trap 'rm -rf "$folder"' EXIT
trap '[[ -n $case_pid ]] && kill "$case_pid"; exit 2' TERM INT
timeout 115 build/review-2/case-6 "$folder" review/6/record.txt &
case_pid=$!
wait "$case_pid"
case $? in
  0) exit 0 ;;
  1) exit 1 ;;
  *) exit 2 ;;
esac

#!/bin/sh
# Checks that corkward-explore rejects bad arguments with the argument's name, the reason and exit code 2.
explore=$1
bad() {
  want=$1
  shift
  output=$("$explore" "$@" 2>&1)
  code=$?
  case $output in *"$want"*) ;; *) echo "$*: output: $output"; exit 1 ;; esac
  [ $code -eq 2 ] || { echo "$*: exit code $code"; exit 1; }
}
bad "no such model: x" --model x
bad "model: missing" --depth 3
bad "has no mechanism x" --model registers --without x
bad "members: must be 2 to 5" --model registers --members 6
bad "faults: must be 0 to 9" --model registers --faults -1
bad "depth: must be 1 to" --model registers --depth 0
bad "seconds: must be above 0" --model registers --seconds 0
bad "memory: must be 64 to" --model registers --memory 1
bad "jobs: must be 1 to 64" --table --jobs 0
bad "unrecognised option" --nothing
"$explore" --help | grep -q -- --model || { echo "--help lacks --model"; exit 1; }
"$explore" --list | grep -q "registers: promise-check" || { echo "--list lacks the registers"; exit 1; }

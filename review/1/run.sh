#!/usr/bin/env bash
# Plays the case, see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-standin ] && [ -x ../../target/cornellanding ] || exit 2
exec ../../target/review-standin stopearly ../../target/cornellanding record.txt

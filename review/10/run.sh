#!/usr/bin/env bash
# Plays case 10; TROUBLE=0 leaves the loss out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. Needs the build of the deploy file and review/build-2.sh.
set -u
cd "$(dirname "$0")/../.."
[ -f target/review-2/Case10.class ] && [ -f target/classes.jsa ] || exit 2
exec "$(bin/java-home)/bin/java" -Xmx256m -cp 'target/review-2:target/lib/*' Case10

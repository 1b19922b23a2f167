#!/usr/bin/env bash
# Builds the stand-ins and cases of the review under review/target, after bin/build-deploy.
set -eu
cd "$(dirname "$0")/.."
JAVA_HOME=$(bin/java-home)
mkdir -p review/target
"$JAVA_HOME/bin/javac" -encoding UTF-8 -d review/target -cp 'target/lib/*' \
    review/standin/*.java $(ls review/[1-5]/*.java)

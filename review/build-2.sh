#!/usr/bin/env bash
# Compiles the stand-ins and cases 6 to 10 into target/review-2. Needs the build of the deploy file, whose JSON
# library they use; no network.
set -eu
cd "$(dirname "$0")/.."
JAVA_HOME=$(bin/java-home)
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -nowarn -cp 'target/lib/*' -d target/review-2 review/standin-2/*.java review/*/Case*.java

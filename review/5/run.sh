#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays the same without the disruption.
TROUBLE=${TROUBLE:-1}
cd "$(dirname "$0")/../.."
JAVA_HOME=$(bin/java-home) || exit 2
exec "$JAVA_HOME/bin/java" -cp 'review/target:target/lib/*' ForeignReport "$TROUBLE"

package org.knapweedbank.config;

import java.util.stream.Stream;

/** A rule that an accepted configuration should comply with. */
@FunctionalInterface
interface ConfigurationRule {
    /** Returns the violations of the rule. */
    Stream<Finding> check(RuleContext context);
}

package org.knapweedbank.config;

import java.util.Map;
import org.knapweedbank.model.Resources;

/**
 * Input of the rules of a configuration check.
 *
 * @param site the accepted configuration
 * @param vmSizes declared VM sizes by name
 * @param locations finds the file and line of a path
 */
record RuleContext(
        SiteConfiguration site, Map<String, Resources> vmSizes, SourceLocations locations) {
    Finding noMatch(String path, String text) {
        return Finding.of(FindingKind.NO_MATCH, locations.warningAt(path, text));
    }

    Finding contradiction(String path, String text) {
        return Finding.of(FindingKind.CONTRADICTION, locations.warningAt(path, text));
    }
}

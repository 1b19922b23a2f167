package org.knapweedbank.config;

/**
 * Something that a check of a configuration has found.
 *
 * @param kind kind of the finding; only errors prevent a change
 * @param path JSON path of the value
 * @param place file and line of the value
 * @param text explanation for the operator
 */
public record Finding(FindingKind kind, String path, FindingPlace place, String text) {
    static Finding of(ConfigurationError error) {
        return new Finding(
                FindingKind.ERROR,
                error.path(),
                new FindingPlace(error.file(), error.line()),
                error.description());
    }

    static Finding of(FindingKind kind, ConfigurationWarning warning) {
        return new Finding(
                kind,
                warning.path(),
                new FindingPlace(warning.file(), warning.line()),
                warning.message());
    }

    /**
     * Returns whether the finding prevents a change.
     *
     * @return true for an error
     */
    public boolean isError() {
        return kind == FindingKind.ERROR;
    }

    @Override
    public String toString() {
        return place + ": " + path + ": " + (isError() ? "" : "warning: ") + text;
    }
}

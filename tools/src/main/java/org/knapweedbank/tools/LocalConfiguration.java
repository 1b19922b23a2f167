package org.knapweedbank.tools;

import java.util.Optional;
import org.knapweedbank.config.MergeResult;
import org.knapweedbank.config.ParsedFile;

/** Local configuration files and the result of merging them. */
record LocalConfiguration(ParsedFile base, Optional<ParsedFile> overlay, MergeResult merged) {}

package org.knapweedbank.config;

import java.util.Optional;
import org.knapweedbank.store.KeyRange;

/** Checks documents read from the store against the head. */
final class GenerationDocuments {
    private GenerationDocuments() {}

    /** The generation read, or empty when it is absent, malformed or not the one of the head. */
    static Optional<StoredGeneration> verified(ConfigurationHead head, KeyRange range) {
        try {
            return range.first()
                    .map(entry -> ConfigurationCodec.decodeGeneration(entry.value()))
                    .filter(read -> read.generation() == head.generation())
                    .filter(
                            read ->
                                    ConfigurationCodec.digest(read.document())
                                            .equals(head.digest()));
        } catch (ConfigurationFormatException e) {
            return Optional.empty();
        }
    }
}

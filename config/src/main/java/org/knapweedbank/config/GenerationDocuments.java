package org.knapweedbank.config;

import java.util.Optional;
import org.knapweedbank.store.KeyRange;

/** Decodes documents read from the store and verifies them against the head. */
final class GenerationDocuments {
    private GenerationDocuments() {}

    /**
     * Returns the stored generation, or empty if it is missing, malformed or differs from the head
     * in its generation number or digest.
     */
    static Optional<StoredGeneration> decodeVerified(ConfigurationHead head, KeyRange range) {
        try {
            return range.first()
                    .map(entry -> ConfigurationCodec.decodeGeneration(entry.value()))
                    .filter(decoded -> decoded.generation() == head.generation())
                    .filter(
                            decoded ->
                                    ConfigurationCodec.digest(decoded.document())
                                            .equals(head.digest()));
        } catch (ConfigurationFormatException e) {
            return Optional.empty();
        }
    }
}

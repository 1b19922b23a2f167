package org.knapweedbank.store.claim;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import org.knapweedbank.store.KeyEntry;

/**
 * Value of a claim key. The attempt identifies the write.
 *
 * @param attemptId the attempt
 * @param agent agent recorded with it, or empty
 * @param state the state
 * @param atMillis wall time of the claim
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record ClaimRecord(
        @JsonProperty("attempt") String attemptId,
        @JsonProperty("agent") String agent,
        @JsonProperty("state") ClaimState state,
        @JsonProperty("at") long atMillis) {
    private static final String PREFIX = "/kwb/claim/";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    static ClaimRecord of(Claim claim, ClaimState state) {
        return new ClaimRecord(claim.attemptId(), claim.agent(), state, claim.atMillis());
    }

    static String key(String service, String idempotencyKey) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(service.getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
            digest.update(idempotencyKey.getBytes(StandardCharsets.UTF_8));
            return PREFIX + HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    byte[] encode() {
        try {
            return MAPPER.writeValueAsBytes(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("claim cannot be encoded", e);
        }
    }

    static Optional<ClaimRecord> decode(KeyEntry entry) {
        try {
            return Optional.ofNullable(MAPPER.readValue(entry.value(), ClaimRecord.class))
                    .filter(r -> r.attemptId != null && r.agent != null && r.state != null);
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}

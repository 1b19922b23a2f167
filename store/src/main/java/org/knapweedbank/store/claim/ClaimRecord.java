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
 * Value of a claim key in the store. The identifier of the attempt tells which attempt wrote it.
 *
 * @param attemptId identifier of the attempt
 * @param agent agent recorded with the claim, or empty
 * @param state state of the claim
 * @param atMillis wall-clock time of the claim in milliseconds since 1970
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record ClaimRecord(
        @JsonProperty("attempt") String attemptId,
        @JsonProperty("agent") String agent,
        @JsonProperty("state") ClaimState state,
        @JsonProperty("at") long atMillis) {
    private static final String KEY_PREFIX = "/kwb/claim/";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    static ClaimRecord of(Claim claim, ClaimState state) {
        return new ClaimRecord(claim.attemptId(), claim.agent(), state, claim.atMillis());
    }

    /** Returns the store key of a claim, a hash of the service and the idempotency key. */
    static String key(String service, String idempotencyKey) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(service.getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
            digest.update(idempotencyKey.getBytes(StandardCharsets.UTF_8));
            return KEY_PREFIX + HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    byte[] encode() {
        try {
            return MAPPER.writeValueAsBytes(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("could not encode a claim as JSON", e);
        }
    }

    static Optional<ClaimRecord> decode(KeyEntry entry) {
        try {
            return Optional.ofNullable(MAPPER.readValue(entry.value(), ClaimRecord.class))
                    .filter(
                            claimRecord ->
                                    claimRecord.attemptId != null
                                            && claimRecord.agent != null
                                            && claimRecord.state != null);
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}

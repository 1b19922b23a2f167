package org.knapweedbank.store.lease;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Optional;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.store.KeyEntry;

/**
 * Registration of an entry daemon, the value of {@code /kwb/c/entry/ID}.
 *
 * @param id the entry
 * @param incarnation grows with each start of the daemon
 * @param dataCentre its data centre
 * @param address HOST:PORT of its frame listener
 * @param callerAddress HOST:PORT of its listener for callers
 * @param operatorAddress HOST:PORT of its listener for operators
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record EntryRegistration(
        DaemonId id,
        long incarnation,
        DataCentreId dataCentre,
        String address,
        String callerAddress,
        String operatorAddress) {
    /** Prefix of the registrations. */
    public static final String PREFIX = "/kwb/c/entry/";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Key of the registration.
     *
     * @return the key
     */
    public String key() {
        return PREFIX + id.value();
    }

    /**
     * Encodes the registration.
     *
     * @return JSON in UTF-8
     */
    public byte[] encode() {
        try {
            return MAPPER.writeValueAsBytes(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("registration cannot be encoded", e);
        }
    }

    /**
     * Decodes a registration.
     *
     * @param entry entry of the store
     * @return the registration, or empty when the value is malformed
     */
    public static Optional<EntryRegistration> decode(KeyEntry entry) {
        try {
            return Optional.ofNullable(MAPPER.readValue(entry.value(), EntryRegistration.class));
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}

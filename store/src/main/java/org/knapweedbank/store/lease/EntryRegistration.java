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
 * Registration of an entry daemon, stored as the value of {@code /kwb/c/entry/ID}.
 *
 * @param id identifier of the entry
 * @param incarnation number that grows with each start of the daemon
 * @param dataCentre data centre of the entry
 * @param address HOST:PORT on which the entry accepts connections of other daemons
 * @param callerAddress HOST:PORT on which the entry accepts requests of callers
 * @param operatorAddress HOST:PORT on which the entry accepts requests of operators
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record EntryRegistration(
        DaemonId id,
        long incarnation,
        DataCentreId dataCentre,
        String address,
        String callerAddress,
        String operatorAddress) {
    /** Prefix of the registration keys. */
    public static final String PREFIX = "/kwb/c/entry/";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Returns the store key of the registration.
     *
     * @return the key
     */
    public String key() {
        return PREFIX + id.value();
    }

    /**
     * Encodes the registration as JSON.
     *
     * @return JSON in UTF-8
     */
    public byte[] encode() {
        try {
            return MAPPER.writeValueAsBytes(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("could not encode the registration as JSON", e);
        }
    }

    /**
     * Decodes a registration.
     *
     * @param entry entry of the store
     * @return the registration, or empty if the value is malformed
     */
    public static Optional<EntryRegistration> decode(KeyEntry entry) {
        try {
            return Optional.ofNullable(MAPPER.readValue(entry.value(), EntryRegistration.class));
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}

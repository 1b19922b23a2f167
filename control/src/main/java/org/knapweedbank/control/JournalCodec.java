package org.knapweedbank.control;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.IOException;
import java.util.List;
import org.knapweedbank.model.JobSpec;
import org.knapweedbank.model.Resources;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/** Encodes and decodes journal records and snapshots as MessagePack. */
public final class JournalCodec {
    private static final ObjectMapper MAPPER = mapper();
    private static final ObjectReader READER = MAPPER.readerFor(JournalRecord.class);
    private static final ObjectWriter WRITER = MAPPER.writerFor(JournalRecord.class);
    private static final TypeReference<List<JournalRecord>> RECORDS = new TypeReference<>() {};
    private static final ObjectWriter LIST_WRITER = MAPPER.writerFor(RECORDS);
    private static final ObjectReader LIST_READER = MAPPER.readerFor(RECORDS);

    private JournalCodec() {}

    private static ObjectMapper mapper() {
        ObjectMapper mapper = new MessagePackMapper();
        JsonFormat.Value array = JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY);
        mapper.configOverride(JobSpec.class).setFormat(array);
        mapper.configOverride(Resources.class).setFormat(array);
        return mapper;
    }

    /**
     * Encodes a record.
     *
     * @param record record to encode
     * @return the encoded record
     */
    public static byte[] encode(JournalRecord record) {
        return write(WRITER, record);
    }

    /**
     * Decodes a record.
     *
     * @param bytes encoded record
     * @return the record
     * @throws JournalFormatException if the bytes do not contain a valid record
     */
    public static JournalRecord decode(byte[] bytes) {
        try {
            return READER.readValue(bytes);
        } catch (IOException e) {
            throw new JournalFormatException("journal record cannot be decoded", e);
        }
    }

    /**
     * Encodes a snapshot.
     *
     * @param records records from which the state of the partition can be restored
     * @return the encoded snapshot
     */
    public static byte[] encodeSnapshot(List<JournalRecord> records) {
        return write(LIST_WRITER, records);
    }

    /**
     * Decodes a snapshot.
     *
     * @param bytes encoded snapshot; an empty array denotes an empty snapshot
     * @return the records of the snapshot
     * @throws JournalFormatException if the bytes do not contain a valid snapshot
     */
    public static List<JournalRecord> decodeSnapshot(byte[] bytes) {
        if (bytes.length == 0) {
            return List.of();
        }
        try {
            return LIST_READER.readValue(bytes);
        } catch (IOException e) {
            throw new JournalFormatException("snapshot cannot be decoded", e);
        }
    }

    private static byte[] write(ObjectWriter writer, Object value) {
        try {
            return writer.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("journal record cannot be encoded", e);
        }
    }
}

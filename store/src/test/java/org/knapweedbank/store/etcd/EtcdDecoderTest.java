package org.knapweedbank.store.etcd;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.knapweedbank.store.KeyRange;
import org.knapweedbank.store.Operation;
import org.knapweedbank.store.Transaction;
import org.knapweedbank.store.TransactionResult;

class EtcdDecoderTest {
    private static final String RANGE_RESPONSE =
            "{\"header\":{\"cluster_id\":\"1\",\"revision\":\"7\"},\"kvs\":[{\"key\":\"L2E=\","
                    + "\"create_revision\":\"2\",\"mod_revision\":\"5\",\"version\":\"3\","
                    + "\"value\":\"dg==\",\"lease\":\"9\"}],\"more\":true,\"count\":\"2\"}";

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Fails if a field of the documented response format is decoded incorrectly. */
    @Test
    void decodesDocumentedFormat() throws Exception {
        KeyRange range = EtcdDecoder.decodeRange(utf8(RANGE_RESPONSE));
        assertThat(range.revision()).isEqualTo(7);
        assertThat(range.hasMore()).isTrue();
        assertThat(range.entries()).hasSize(1);
        assertThat(range.entries().getFirst().key()).isEqualTo("/a");
        assertThat(range.entries().getFirst().text()).isEqualTo("v");
        assertThat(range.entries().getFirst().createRevision()).isEqualTo(2);
        assertThat(range.entries().getFirst().modRevision()).isEqualTo(5);
        assertThat(range.entries().getFirst().leaseId()).isEqualTo(9);
    }

    /** Fails if field names in camel case are rejected. */
    @Test
    void decodesCamelCaseFieldNames() throws Exception {
        Transaction transaction = Transaction.of(new Operation.Delete("/a"));
        TransactionResult result =
                EtcdDecoder.decodeTransaction(
                        transaction,
                        utf8(
                                "{\"header\":{\"revision\":3},\"succeeded\":true,"
                                        + "\"responses\":[{\"responseDeleteRange\":{}}]}"));
        assertThat(result.conditionsHeld()).isTrue();
        assertThat(result.revision()).isEqualTo(3);
    }

    /** Fails if a malformed response is accepted as an empty or a shorter result. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "null",
                "[]",
                "7",
                "{",
                "{}",
                "{}{}",
                "{\"header\":7}",
                "{\"header\":{\"revision\":\"x\"}}",
                "{\"header\":{\"revision\":1.5}}",
                "{\"header\":{\"revision\":\"99999999999999999999\"}}",
                "{\"header\":{\"revision\":99999999999999999999}}",
                "{\"header\":{\"revision\":\"1\"},\"kvs\":7}",
                "{\"header\":{\"revision\":\"1\"},\"more\":true}",
                "{\"header\":{\"revision\":\"1\"},\"more\":\"yes\"}",
                "{\"header\":{\"revision\":\"1\"},\"kvs\":[{\"key\":7}]}",
                "{\"header\":{\"revision\":\"1\"},\"kvs\":[{\"key\":\"%%%\"}]}",
                "{\"header\":{\"revision\":\"1\"},\"kvs\":[{\"key\":\"/w==\"}]}"
            })
    void rejectsMalformedRange(String body) {
        assertThrows(MalformedResponseException.class, () -> EtcdDecoder.decodeRange(utf8(body)));
    }

    /** Fails if a response is accepted that does not match the operations of its transaction. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"header\":{\"revision\":\"1\"},\"succeeded\":true}",
                "{\"header\":{\"revision\":\"1\"},\"succeeded\":true,\"responses\":[{}]}",
                "{\"header\":{\"revision\":\"1\"},\"succeeded\":true,"
                        + "\"responses\":[{\"response_range\":{}}]}",
                "{\"header\":{\"revision\":\"1\"},\"succeeded\":true,"
                        + "\"responses\":[{\"response_put\":{}},{\"response_put\":{}}]}",
                "{\"header\":{\"revision\":\"1\"}," + "\"responses\":[{\"response_put\":{}}]}"
            })
    void rejectsResponseThatDoesNotMatchTransaction(String body) {
        Transaction transaction = Transaction.of(new Operation.Put("/a", new byte[1], 0));
        assertThrows(
                MalformedResponseException.class,
                () -> EtcdDecoder.decodeTransaction(transaction, utf8(body)));
    }

    /** Fails if a response that is truncated at any byte is accepted. */
    @Test
    void rejectsTruncatedResponse() {
        for (int length = 0; length < RANGE_RESPONSE.length(); length++) {
            byte[] truncated = utf8(RANGE_RESPONSE.substring(0, length));
            assertThrows(
                    MalformedResponseException.class, () -> EtcdDecoder.decodeRange(truncated));
        }
    }

    /** Fails if deep nesting exhausts the stack or invalid UTF-8 is accepted. */
    @Test
    void rejectsDeepNestingAndInvalidUtf8() {
        List<byte[]> bodies =
                List.of(
                        utf8("{\"header\":" + "[".repeat(100_000)),
                        utf8("{\"a\":".repeat(100_000)),
                        new byte[] {'{', '"', (byte) 0xff, (byte) 0xfe, '"', ':', '1', '}'},
                        new byte[] {(byte) 0x80});
        for (byte[] body : bodies) {
            assertThrows(MalformedResponseException.class, () -> EtcdDecoder.decodeRange(body));
        }
    }

    /**
     * Fails if arbitrary bytes cause an exception other than {@link MalformedResponseException}.
     */
    @Property(seed = "20261204", tries = 2000)
    void rejectsArbitraryBytes(@ForAll @Size(max = 64) byte[] body) {
        assertThrows(MalformedResponseException.class, () -> EtcdDecoder.decodeRange(body));
        assertThrows(MalformedResponseException.class, () -> EtcdDecoder.decodeRenewal(body));
        assertThrows(
                MalformedResponseException.class, () -> EtcdDecoder.decodeGrantedLeaseId(body));
    }
}

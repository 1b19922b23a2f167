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
    private static final String RANGE =
            "{\"header\":{\"cluster_id\":\"1\",\"revision\":\"7\"},\"kvs\":[{\"key\":\"L2E=\","
                    + "\"create_revision\":\"2\",\"mod_revision\":\"5\",\"version\":\"3\","
                    + "\"value\":\"dg==\",\"lease\":\"9\"}],\"more\":true,\"count\":\"2\"}";

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Guards against fields of the published form that are misread. */
    @Test
    void readsThePublishedForm() throws Exception {
        KeyRange range = EtcdDecoder.range(utf8(RANGE));
        assertThat(range.revision()).isEqualTo(7);
        assertThat(range.more()).isTrue();
        assertThat(range.entries()).hasSize(1);
        assertThat(range.entries().getFirst().key()).isEqualTo("/a");
        assertThat(range.entries().getFirst().text()).isEqualTo("v");
        assertThat(range.entries().getFirst().createRevision()).isEqualTo(2);
        assertThat(range.entries().getFirst().modRevision()).isEqualTo(5);
        assertThat(range.entries().getFirst().leaseId()).isEqualTo(9);
    }

    /** Guards against the camel case form of the gateway being refused. */
    @Test
    void readsCamelCase() throws Exception {
        Transaction transaction = Transaction.of(new Operation.Delete("/a"));
        TransactionResult result =
                EtcdDecoder.transaction(
                        transaction,
                        utf8(
                                "{\"header\":{\"revision\":3},\"succeeded\":true,"
                                        + "\"responses\":[{\"responseDeleteRange\":{}}]}"));
        assertThat(result.compared()).isTrue();
        assertThat(result.revision()).isEqualTo(3);
    }

    /** Guards against malformed answers that are taken for an empty or a shorter result. */
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
    void malformedRangesAreReported(String body) {
        assertThrows(MalformedAnswerException.class, () -> EtcdDecoder.range(utf8(body)));
    }

    /** Guards against answers that do not fit the operations of their transaction. */
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
    void malformedTransactionAnswersAreReported(String body) {
        Transaction transaction = Transaction.of(new Operation.Put("/a", new byte[1], 0));
        assertThrows(
                MalformedAnswerException.class,
                () -> EtcdDecoder.transaction(transaction, utf8(body)));
    }

    /** Guards against answers cut off at any byte being accepted. */
    @Test
    void everyTruncationIsReported() {
        for (int length = 0; length < RANGE.length(); length++) {
            byte[] cut = utf8(RANGE.substring(0, length));
            assertThrows(MalformedAnswerException.class, () -> EtcdDecoder.range(cut));
        }
    }

    /** Guards against deep nesting that exhausts the stack, and against invalid UTF-8. */
    @Test
    void deepNestingAndInvalidUtf8AreReported() {
        List<byte[]> bodies =
                List.of(
                        utf8("{\"header\":" + "[".repeat(100_000)),
                        utf8("{\"a\":".repeat(100_000)),
                        new byte[] {'{', '"', (byte) 0xff, (byte) 0xfe, '"', ':', '1', '}'},
                        new byte[] {(byte) 0x80});
        for (byte[] body : bodies) {
            assertThrows(MalformedAnswerException.class, () -> EtcdDecoder.range(body));
        }
    }

    /** Guards against input that ends in another error than a report of its form. */
    @Property(seed = "20261204", tries = 2000)
    void arbitraryBytesAreReported(@ForAll @Size(max = 64) byte[] body) {
        assertThrows(MalformedAnswerException.class, () -> EtcdDecoder.range(body));
        assertThrows(MalformedAnswerException.class, () -> EtcdDecoder.renewed(body));
        assertThrows(MalformedAnswerException.class, () -> EtcdDecoder.granted(body));
    }
}

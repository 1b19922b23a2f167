package org.knapweedbank.store.journal;

import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Function;
import org.knapweedbank.store.KeyEntry;
import org.knapweedbank.store.KeyRange;
import org.knapweedbank.store.KeyValueStore;
import org.knapweedbank.store.StoreResult;

/** Reads the snapshot of a partition and, in pages, the log segments after it. */
final class JournalReader {
    /** Number of segments in the first page. */
    private static final int FIRST_PAGE_SEGMENTS = 8;

    /** Maximum number of segments in a page. */
    private static final int MAX_PAGE_SEGMENTS = 512;

    /**
     * Target size of a page, well below the maximum size of a response. The number of segments of
     * the next page is derived from it and the average size of the segments of the last page.
     */
    private static final long TARGET_PAGE_BYTES = 1_000_000;

    private final KeyValueStore mStore;
    private final JournalKeys mKeys;

    /**
     * Result of the read.
     *
     * @param contents snapshot and records
     * @param lastSequence sequence number of the last segment, or of the last segment that the
     *     snapshot contains if no segment follows it
     * @param segments number of segments after the snapshot
     */
    record ReadResult(JournalContents contents, long lastSequence, int segments) {}

    JournalReader(KeyValueStore store, JournalKeys keys) {
        mStore = store;
        mKeys = keys;
    }

    Uni<StoreResult<ReadResult>> read() {
        return chainIfSucceeded(mStore.get(mKeys.snapshotKey()), this::readParts);
    }

    private Uni<StoreResult<ReadResult>> readParts(KeyRange range) {
        if (range.first().isEmpty()) {
            return readLog(new SnapshotHead(0, 0, 0, new byte[0]), new byte[0]);
        }
        try {
            SnapshotHead head =
                    SnapshotHead.decode(mKeys.snapshotKey(), range.first().get().value());
            return head.parts() == 0
                    ? readLog(head, head.inline())
                    : readPart(head, new ArrayList<>());
        } catch (MalformedValueException e) {
            return rejected(e.getMessage());
        }
    }

    private Uni<StoreResult<ReadResult>> readPart(SnapshotHead head, List<byte[]> parts) {
        if (parts.size() == head.parts()) {
            return readLog(head, joinParts(parts));
        }
        String key = mKeys.partKey(head.epoch(), head.lastSequence(), parts.size());
        return chainIfSucceeded(
                mStore.get(key),
                range -> {
                    if (range.first().isEmpty()) {
                        return rejected(key + " is missing, although the snapshot refers to it");
                    }
                    parts.add(range.first().get().value());
                    return readPart(head, parts);
                });
    }

    private Uni<StoreResult<ReadResult>> readLog(SnapshotHead head, byte[] snapshot) {
        List<KeyEntry> entries = new ArrayList<>();
        String firstKey = mKeys.segmentKey(head.lastSequence() + 1);
        return chainIfSucceeded(
                readPages(entries, firstKey, FIRST_PAGE_SEGMENTS),
                ignored -> Uni.createFrom().item(decodeSegments(head, snapshot, entries)));
    }

    private Uni<StoreResult<KeyRange>> readPages(
            List<KeyEntry> entries, String fromKey, int limit) {
        return chainIfSucceeded(
                mStore.rangeFrom(mKeys.logKeyPrefix(), fromKey, limit),
                page -> {
                    entries.addAll(page.entries());
                    if (!page.hasMore()) {
                        return Uni.createFrom().item(new StoreResult.Succeeded<>(page));
                    }
                    String nextKey = page.entries().getLast().key() + "\0";
                    return readPages(entries, nextKey, nextLimit(page));
                });
    }

    private static int nextLimit(KeyRange page) {
        long bytes = page.entries().stream().mapToLong(entry -> entry.value().length).sum();
        long averageBytes = Math.max(1, bytes / page.entries().size());
        return Math.clamp(TARGET_PAGE_BYTES / averageBytes, 1, MAX_PAGE_SEGMENTS);
    }

    private StoreResult<ReadResult> decodeSegments(
            SnapshotHead head, byte[] snapshot, List<KeyEntry> entries) {
        List<byte[]> records = new ArrayList<>();
        long sequence = head.lastSequence();
        try {
            for (KeyEntry entry : entries) {
                sequence++;
                if (!entry.key().equals(mKeys.segmentKey(sequence))) {
                    return new StoreResult.Rejected<>(
                            mKeys.segmentKey(sequence) + " is missing in the log");
                }
                Segment segment = Segment.decode(entry.key(), entry.value());
                if (segment.sequence() != sequence) {
                    return new StoreResult.Rejected<>(
                            entry.key() + " has the sequence number of another segment");
                }
                records.addAll(segment.records());
            }
        } catch (MalformedValueException e) {
            return new StoreResult.Rejected<>(e.getMessage());
        }
        JournalContents contents = new JournalContents(snapshot, records);
        return new StoreResult.Succeeded<>(new ReadResult(contents, sequence, entries.size()));
    }

    private static byte[] joinParts(List<byte[]> parts) {
        byte[] joined = new byte[parts.stream().mapToInt(part -> part.length).sum()];
        int position = 0;
        for (byte[] part : parts) {
            System.arraycopy(part, 0, joined, position, part.length);
            position += part.length;
        }
        return joined;
    }

    static List<byte[]> splitIntoParts(byte[] snapshot, int partBytes) {
        List<byte[]> parts = new ArrayList<>();
        for (int from = 0; from < snapshot.length; from += partBytes) {
            int to = Math.min(snapshot.length, from + partBytes);
            parts.add(Arrays.copyOfRange(snapshot, from, to));
        }
        return parts;
    }

    private static <T, R> Uni<StoreResult<R>> chainIfSucceeded(
            Uni<StoreResult<T>> call, Function<T, Uni<StoreResult<R>>> next) {
        return call.chain(
                result ->
                        result instanceof StoreResult.Succeeded<T>(T value)
                                ? next.apply(value)
                                : Uni.createFrom().item(result.map(ignored -> null)));
    }

    private static <T> Uni<StoreResult<T>> rejected(String reason) {
        return Uni.createFrom().item(new StoreResult.Rejected<>(reason));
    }
}

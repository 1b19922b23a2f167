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

/** Reads snapshot and log of a partition in pages. */
final class JournalReader {
    private static final int FIRST_PAGE = 8;
    private static final int LARGEST_PAGE = 512;

    /** Pages grow or shrink towards this size, well below what one answer may hold. */
    private static final long PAGE_BYTES = 1_000_000;

    private final KeyValueStore mStore;
    private final JournalKeys mKeys;

    /**
     * What was read.
     *
     * @param contents snapshot and records
     * @param lastSequence last segment, or the snapshot's position if there is none
     * @param segments number of segments after the snapshot
     */
    record Loaded(JournalContents contents, long lastSequence, int segments) {}

    JournalReader(KeyValueStore store, JournalKeys keys) {
        mStore = store;
        mKeys = keys;
    }

    Uni<StoreResult<Loaded>> read() {
        return then(mStore.get(mKeys.snapshot()), this::readParts);
    }

    private Uni<StoreResult<Loaded>> readParts(KeyRange range) {
        if (range.first().isEmpty()) {
            return readLog(new SnapshotHead(0, 0, 0, new byte[0]), new byte[0]);
        }
        try {
            SnapshotHead head = SnapshotHead.decode(mKeys.snapshot(), range.first().get().value());
            return head.parts() == 0
                    ? readLog(head, head.inline())
                    : readPart(head, new ArrayList<>());
        } catch (MalformedValueException e) {
            return rejected(e.getMessage());
        }
    }

    private Uni<StoreResult<Loaded>> readPart(SnapshotHead head, List<byte[]> parts) {
        if (parts.size() == head.parts()) {
            return readLog(head, joined(parts));
        }
        String key = mKeys.part(head.epoch(), head.lastSequence(), parts.size());
        return then(
                mStore.get(key),
                range -> {
                    if (range.first().isEmpty()) {
                        return rejected(key + " is missing");
                    }
                    parts.add(range.first().get().value());
                    return readPart(head, parts);
                });
    }

    private Uni<StoreResult<Loaded>> readLog(SnapshotHead head, byte[] snapshot) {
        List<KeyEntry> entries = new ArrayList<>();
        String first = mKeys.segment(head.lastSequence() + 1);
        return then(
                readPages(entries, first, FIRST_PAGE),
                ignored -> Uni.createFrom().item(decode(head, snapshot, entries)));
    }

    private Uni<StoreResult<KeyRange>> readPages(List<KeyEntry> entries, String from, int limit) {
        return then(
                mStore.rangeFrom(mKeys.logPrefix(), from, limit),
                page -> {
                    entries.addAll(page.entries());
                    if (!page.more()) {
                        return Uni.createFrom().item(new StoreResult.Succeeded<>(page));
                    }
                    String next = page.entries().getLast().key() + "\0";
                    return readPages(entries, next, nextLimit(page));
                });
    }

    private static int nextLimit(KeyRange page) {
        long bytes = page.entries().stream().mapToLong(e -> e.value().length).sum();
        long average = Math.max(1, bytes / page.entries().size());
        return Math.clamp(PAGE_BYTES / average, 1, LARGEST_PAGE);
    }

    private StoreResult<Loaded> decode(SnapshotHead head, byte[] snapshot, List<KeyEntry> entries) {
        List<byte[]> records = new ArrayList<>();
        long sequence = head.lastSequence();
        try {
            for (KeyEntry entry : entries) {
                sequence++;
                if (!entry.key().equals(mKeys.segment(sequence))) {
                    return new StoreResult.Rejected<>(mKeys.segment(sequence) + " is missing");
                }
                Segment segment = Segment.decode(entry.key(), entry.value());
                if (segment.sequence() != sequence) {
                    return new StoreResult.Rejected<>(entry.key() + " has another number");
                }
                records.addAll(segment.records());
            }
        } catch (MalformedValueException e) {
            return new StoreResult.Rejected<>(e.getMessage());
        }
        JournalContents contents = new JournalContents(snapshot, records);
        return new StoreResult.Succeeded<>(new Loaded(contents, sequence, entries.size()));
    }

    private static byte[] joined(List<byte[]> parts) {
        byte[] all = new byte[parts.stream().mapToInt(part -> part.length).sum()];
        int position = 0;
        for (byte[] part : parts) {
            System.arraycopy(part, 0, all, position, part.length);
            position += part.length;
        }
        return all;
    }

    static List<byte[]> split(byte[] snapshot, int partBytes) {
        List<byte[]> parts = new ArrayList<>();
        for (int from = 0; from < snapshot.length; from += partBytes) {
            int to = Math.min(snapshot.length, from + partBytes);
            parts.add(Arrays.copyOfRange(snapshot, from, to));
        }
        return parts;
    }

    private static <T, R> Uni<StoreResult<R>> then(
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

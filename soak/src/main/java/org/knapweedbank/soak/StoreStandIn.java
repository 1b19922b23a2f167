package org.knapweedbank.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.knapweedbank.time.Clock;

/**
 * Stand-in of the platform's store: items with revisions, leases, conditional changes and watches.
 * While it is down or mute, leases pause.
 */
final class StoreStandIn implements AutoCloseable {
    private static final int MAX_ITEMS_PER_PAGE = 500;
    private static final long MIN_LEASE_MILLIS = 1_000;
    private static final long EXPIRY_INTERVAL_MILLIS = 20;

    /** How the store treats calls. */
    enum Mode {
        NORMAL,
        /** Refuses each call with 503. */
        REFUSING,
        /** Carries out each call and never answers. */
        MUTE
    }

    private record Item(String key, String value, long revision, long created, long lease) {}

    private record Change(long revision, String key, Optional<Item> item) {}

    /** Lease with a mutable end. */
    private static final class Lease {
        private final long mTtlMillis;
        private long mEndMillis;

        Lease(long ttlMillis, long nowMillis) {
            mTtlMillis = ttlMillis;
            mEndMillis = nowMillis + ttlMillis;
        }
    }

    private final Clock mClock;
    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final List<Change> mHistory = new ArrayList<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private final ScheduledExecutorService mTimer =
            Executors.newSingleThreadScheduledExecutor(Thread.ofPlatform().daemon().factory());
    private final HttpServer mServer;
    private Mode mMode = Mode.NORMAL;
    private long mRevision = 100;
    private long mLastLease = 1_000;

    StoreStandIn(Clock clock, String host, int port) throws IOException {
        mClock = clock;
        mServer = HttpJson.serve(host, port, this::handle);
        mTimer.scheduleAtFixedRate(
                this::expireLeases,
                EXPIRY_INTERVAL_MILLIS,
                EXPIRY_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Writes an item as the operator does. */
    synchronized void operatorPut(String key, String json) {
        put(++mRevision, key, Base64.getEncoder().encodeToString(json.getBytes()), 0);
        notifyAll();
    }

    /** Returns the decoded value of an item. */
    synchronized Optional<String> value(String key) {
        return Optional.ofNullable(mItems.get(key))
                .map(item -> Base64.getDecoder().decode(item.value()))
                .map(bytes -> new String(bytes, StandardCharsets.UTF_8));
    }

    synchronized void setMode(Mode mode) {
        if (mMode != Mode.NORMAL && mode == Mode.NORMAL) {
            long now = mClock.monotonicMillis();
            mLeases.values().forEach(lease -> lease.mEndMillis = now + lease.mTtlMillis);
        }
        mMode = mode;
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
        mServer.stop(0);
    }

    private synchronized Mode mode() {
        return mMode;
    }

    private void handle(HttpExchange exchange) throws IOException {
        if (mode() == Mode.REFUSING) {
            HttpJson.answer(exchange, 503, HttpJson.object());
            return;
        }
        ObjectNode answer = HttpJson.object();
        int status = carryOut(exchange, answer);
        switch (mode()) {
            case NORMAL -> HttpJson.answer(exchange, status, answer);
            case REFUSING -> exchange.close();
            case MUTE -> {
                // The exchange stays open without an answer until the caller closes it.
            }
        }
    }

    private int carryOut(HttpExchange exchange, ObjectNode answer) throws IOException {
        String path = exchange.getRequestURI().getPath();
        Map<String, String> query = HttpJson.query(exchange);
        JsonNode body = HttpJson.body(exchange);
        String last = path.substring(path.lastIndexOf('/') + 1);
        if (path.startsWith("/api/kv-keep/")) {
            return renewLease(Long.parseLong(last), answer);
        } else if (path.startsWith("/api/kv-lease-end/")) {
            endLease(Long.parseLong(last));
            return 200;
        }
        return switch (path) {
            case "/api/kv-range" -> range(query, answer);
            case "/api/kv-watch" -> watch(query, answer);
            case "/api/kv-txn" -> change(body, answer);
            case "/api/kv-lease" -> openLease(body.path("ttl_ms").asLong(), answer);
            default -> 404;
        };
    }

    private synchronized int range(Map<String, String> query, ObjectNode answer) {
        String prefix = query.getOrDefault("prefix", "");
        String after = query.getOrDefault("after", "");
        List<Item> items =
                mItems.tailMap(prefix, true).values().stream()
                        .takeWhile(item -> item.key().startsWith(prefix))
                        .filter(item -> item.key().compareTo(after) > 0)
                        .toList();
        ArrayNode page = answer.putArray("items");
        items.stream().limit(MAX_ITEMS_PER_PAGE).forEach(item -> page.add(encode(item)));
        answer.put("has_more", items.size() > MAX_ITEMS_PER_PAGE).put("current_rev", mRevision);
        return 200;
    }

    private synchronized int watch(Map<String, String> query, ObjectNode answer) {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.get("after"));
        long deadline = mClock.monotonicMillis() + Long.parseLong(query.get("wait_ms"));
        while (true) {
            List<Change> changes = changesAfter(after, prefix);
            long left = deadline - mClock.monotonicMillis();
            if (!changes.isEmpty() || left <= 0) {
                ArrayNode events = answer.putArray("events");
                changes.forEach(change -> events.add(encode(change)));
                answer.put("current_rev", mRevision);
                return 200;
            }
            try {
                wait(left);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return 503;
            }
        }
    }

    private List<Change> changesAfter(long revision, String prefix) {
        int first = mHistory.size();
        while (first > 0 && mHistory.get(first - 1).revision() > revision) {
            first--;
        }
        return mHistory.subList(first, mHistory.size()).stream()
                .filter(change -> change.key().startsWith(prefix))
                .toList();
    }

    private synchronized int change(JsonNode body, ObjectNode answer) {
        boolean conflict = false;
        ArrayNode present = HttpJson.object().putArray("items");
        for (JsonNode row : body.path("expected")) {
            Item item = mItems.get(row.path("key").asText());
            conflict |= (item == null ? 0 : item.revision()) != row.path("revision").asLong();
            if (item != null) {
                present.add(encode(item));
            }
        }
        if (conflict) {
            answer.set("items", present);
            return 412;
        }
        for (JsonNode row : body.path("puts")) {
            long lease = row.path("lease").asLong();
            if (row.path("key").asText().startsWith("op/")) {
                return 403;
            } else if (lease != 0 && !mLeases.containsKey(lease)) {
                return 404;
            }
        }
        long revision = ++mRevision;
        for (JsonNode row : body.path("puts")) {
            long lease = row.path("lease").asLong();
            put(revision, row.path("key").asText(), row.path("value").asText(), lease);
        }
        body.path("remove").forEach(key -> remove(revision, key.asText()));
        notifyAll();
        answer.put("revision", revision);
        return 200;
    }

    private void put(long revision, String key, String value, long lease) {
        Item former = mItems.get(key);
        long created = former == null ? revision : former.created();
        Item item = new Item(key, value, revision, created, lease);
        mItems.put(key, item);
        mHistory.add(new Change(revision, key, Optional.of(item)));
    }

    private void remove(long revision, String key) {
        if (mItems.remove(key) != null) {
            mHistory.add(new Change(revision, key, Optional.empty()));
        }
    }

    private synchronized int openLease(long ttlMillis, ObjectNode answer) {
        long granted = Math.max(ttlMillis, MIN_LEASE_MILLIS);
        mLeases.put(++mLastLease, new Lease(granted, mClock.monotonicMillis()));
        answer.put("lease", mLastLease).put("ttl_ms", granted);
        return 200;
    }

    private synchronized int renewLease(long id, ObjectNode answer) {
        Lease lease = mLeases.get(id);
        if (lease == null) {
            return 404;
        }
        lease.mEndMillis = mClock.monotonicMillis() + lease.mTtlMillis;
        answer.put("ttl_ms", lease.mTtlMillis);
        return 200;
    }

    private synchronized void endLease(long id) {
        if (mLeases.remove(id) != null) {
            long revision = ++mRevision;
            mItems.values().stream()
                    .filter(item -> item.lease() == id)
                    .map(Item::key)
                    .toList()
                    .forEach(key -> remove(revision, key));
            notifyAll();
        }
    }

    private synchronized void expireLeases() {
        if (mMode == Mode.NORMAL) {
            long now = mClock.monotonicMillis();
            mLeases.entrySet().stream()
                    .filter(lease -> lease.getValue().mEndMillis < now)
                    .map(Map.Entry::getKey)
                    .toList()
                    .forEach(this::endLease);
        }
    }

    private static ObjectNode encode(Item item) {
        return HttpJson.object()
                .put("key", item.key())
                .put("value", item.value())
                .put("revision", item.revision())
                .put("created", item.created())
                .put("lease", item.lease());
    }

    private static ObjectNode encode(Change change) {
        return change.item()
                .map(StoreStandIn::encode)
                .orElseGet(
                        () ->
                                HttpJson.object()
                                        .put("key", change.key())
                                        .put("revision", change.revision())
                                        .put("deleted", true));
    }
}

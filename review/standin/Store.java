package standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's store: items with revisions, leases, conditional changes, watches. */
public final class Store {
    private record Item(String key, String value, long revision, long created, long lease) {}

    private record Change(long revision, String key, Item item) {}

    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final List<Change> mHistory = new ArrayList<>();

    /** End of each lease in milliseconds of the steady clock, and its duration. */
    private final Map<Long, long[]> mLeases = new HashMap<>();

    private final Record mRecord;
    private boolean mDown;
    private long mRevision = 100;
    private long mLastLease = 1000;

    public Store(Record record, String host, int port) throws IOException {
        mRecord = record;
        Http.serve(host, port, this::handle);
        Thread.ofPlatform().daemon().start(this::expireLeases);
    }

    /** Writes a key as the operator does; the answer of the store is the confirmation. */
    public synchronized void operatorPut(String key, String json) {
        put(++mRevision, key, Base64.getEncoder().encodeToString(json.getBytes()), 0);
        notifyAll();
    }

    /** Begins or ends an outage, in which each call gets 503 and leases pause. */
    public synchronized void setDown(boolean down) {
        mDown = down;
        mRecord.line(down ? "the store goes down" : "the store is back");
        if (!down) {
            long now = System.nanoTime() / 1_000_000;
            mLeases.values().forEach(lease -> lease[0] = now + lease[1]);
        }
    }

    private synchronized boolean isDown() {
        return mDown;
    }

    private void handle(HttpExchange exchange) throws IOException {
        if (isDown()) {
            Http.answer(exchange, 503, Http.object());
            return;
        }
        String path = exchange.getRequestURI().getPath();
        JsonNode body = Http.body(exchange);
        Map<String, String> query = Http.query(exchange);
        if (path.equals("/api/kv-range")) {
            Http.answer(exchange, 200, range(query));
        } else if (path.equals("/api/kv-watch")) {
            ObjectNode answer = watch(query);
            Http.answer(exchange, isDown() ? 503 : 200, answer);
        } else if (path.equals("/api/kv-txn")) {
            change(exchange, body);
        } else if (path.equals("/api/kv-lease")) {
            Http.answer(exchange, 200, openLease(body.path("ttl_ms").asLong()));
        } else if (path.startsWith("/api/kv-keep/")) {
            renewLease(exchange, Long.parseLong(path.substring("/api/kv-keep/".length())));
        } else if (path.startsWith("/api/kv-lease-end/")) {
            endLease(Long.parseLong(path.substring("/api/kv-lease-end/".length())));
            Http.answer(exchange, 200, Http.object());
        } else {
            Http.answer(exchange, 404, Http.object());
        }
    }

    private synchronized ObjectNode range(Map<String, String> query) {
        String prefix = query.getOrDefault("prefix", "");
        String after = query.getOrDefault("after", "");
        ObjectNode answer = Http.object();
        ArrayNode items = answer.putArray("items");
        boolean more = false;
        for (Item item : mItems.tailMap(prefix, true).values()) {
            if (!item.key().startsWith(prefix)) {
                break;
            }
            if (item.key().compareTo(after) <= 0) {
                continue;
            }
            if (items.size() == 500) {
                more = true;
                break;
            }
            items.add(encode(item));
        }
        return answer.put("has_more", more).put("current_rev", mRevision);
    }

    private synchronized ObjectNode watch(Map<String, String> query) {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.get("after"));
        long deadline = System.currentTimeMillis() + Long.parseLong(query.get("wait_ms"));
        while (true) {
            ObjectNode answer = Http.object();
            ArrayNode events = answer.putArray("events");
            for (int i = mHistory.size() - 1; i >= 0 && mHistory.get(i).revision() > after; i--) {
                Change change = mHistory.get(i);
                if (change.key().startsWith(prefix)) {
                    events.insert(0, encode(change));
                }
            }
            answer.put("current_rev", mRevision);
            long left = deadline - System.currentTimeMillis();
            if (!events.isEmpty() || left <= 0) {
                return answer;
            }
            try {
                wait(left);
            } catch (InterruptedException e) {
                return answer;
            }
        }
    }

    private synchronized void change(HttpExchange exchange, JsonNode body) throws IOException {
        boolean conflict = false;
        ArrayNode present = Http.object().putArray("items");
        for (JsonNode row : body.path("expected")) {
            Item item = mItems.get(row.path("key").asText());
            long revision = item == null ? 0 : item.revision();
            conflict |= revision != row.path("revision").asLong();
            if (item != null) {
                present.add(encode(item));
            }
        }
        if (conflict) {
            ObjectNode answer = Http.object();
            answer.set("items", present);
            Http.answer(exchange, 412, answer);
            return;
        }
        for (JsonNode row : body.path("puts")) {
            String key = row.path("key").asText();
            long lease = row.path("lease").asLong();
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                Http.answer(exchange, 403, Http.object());
                return;
            }
            if (lease != 0 && !mLeases.containsKey(lease)) {
                Http.answer(exchange, 404, Http.object());
                return;
            }
        }
        long revision = ++mRevision;
        for (JsonNode row : body.path("puts")) {
            put(
                    revision,
                    row.path("key").asText(),
                    row.path("value").asText(),
                    row.path("lease").asLong());
        }
        for (JsonNode key : body.path("remove")) {
            remove(revision, key.asText());
        }
        notifyAll();
        Http.answer(exchange, 200, Http.object().put("revision", revision));
    }

    private void put(long revision, String key, String value, long lease) {
        Item old = mItems.get(key);
        Item item = new Item(key, value, revision, old == null ? revision : old.created(), lease);
        mItems.put(key, item);
        mHistory.add(new Change(revision, key, item));
    }

    private void remove(long revision, String key) {
        if (mItems.remove(key) != null) {
            mHistory.add(new Change(revision, key, null));
        }
    }

    private synchronized ObjectNode openLease(long ttl) {
        long granted = Math.max(ttl, 1000);
        mLeases.put(++mLastLease, new long[] {System.nanoTime() / 1_000_000 + granted, granted});
        return Http.object().put("lease", mLastLease).put("ttl_ms", granted);
    }

    private synchronized void renewLease(HttpExchange exchange, long id) throws IOException {
        long[] lease = mLeases.get(id);
        if (lease == null) {
            Http.answer(exchange, 404, Http.object());
            return;
        }
        lease[0] = System.nanoTime() / 1_000_000 + lease[1];
        Http.answer(exchange, 200, Http.object().put("ttl_ms", lease[1]));
    }

    private synchronized void endLease(long id) {
        if (mLeases.remove(id) != null) {
            long revision = ++mRevision;
            List<String> keys =
                    mItems.values().stream().filter(i -> i.lease() == id).map(Item::key).toList();
            keys.forEach(key -> remove(revision, key));
            notifyAll();
        }
    }

    private void expireLeases() {
        while (true) {
            Http.sleep(20);
            List<Long> ended;
            synchronized (this) {
                long now = System.nanoTime() / 1_000_000;
                ended =
                        mLeases.entrySet().stream()
                                .filter(lease -> !mDown && lease.getValue()[0] < now)
                                .map(Map.Entry::getKey)
                                .toList();
            }
            ended.forEach(this::endLease);
        }
    }

    private static ObjectNode encode(Item item) {
        return Http.object()
                .put("key", item.key())
                .put("value", item.value())
                .put("revision", item.revision())
                .put("created", item.created())
                .put("lease", item.lease());
    }

    private static ObjectNode encode(Change change) {
        return change.item() != null
                ? encode(change.item())
                : Http.object()
                        .put("key", change.key())
                        .put("revision", change.revision())
                        .put("deleted", true);
    }
}

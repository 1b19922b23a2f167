import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store: items with revisions, leases, conditional changes, watches. Each answer
 * takes {@link #answerMillis}. It loses nothing and keeps its whole history.
 */
final class Store {
    private static final int PAGE_ITEMS = 500;
    private static final int MAX_CHANGE_ENTRIES = 32;
    private static final long MIN_LEASE_MS = 1_000;

    private record Item(String key, String value, long revision, long created, long lease) {}

    private record Event(long revision, String key, Item item) {}

    private static final class Lease {
        long ttlMs;
        long endMs;
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 100;
    private long lastLease = 1_000;

    /** Time that each answer takes; 4 ms on a usual day. */
    volatile long answerMillis = 4;

    Store(String host, int port) throws IOException {
        Http.serve(host, port, this::handle);
        Thread.ofPlatform().daemon().start(this::expireLeases);
    }

    /** Writes an item as the operator does. */
    synchronized void operatorPut(String key, String value) {
        revision++;
        put(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
    }

    /** Returns the text of an item, or an empty text. */
    synchronized String text(String key) {
        Item item = items.get(key);
        return item == null
                ? ""
                : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
    }

    private void handle(HttpExchange exchange) throws IOException {
        ObjectNode answer = Http.JSON.createObjectNode();
        JsonNode body = Http.body(exchange);
        int status;
        try {
            status = carryOut(exchange, body, answer);
            Thread.sleep(answerMillis);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
        Http.answer(exchange, status, answer);
    }

    private int carryOut(HttpExchange exchange, JsonNode body, ObjectNode answer)
            throws InterruptedException {
        String path = exchange.getRequestURI().getPath();
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        String last = path.substring(path.lastIndexOf('/') + 1);
        if (path.startsWith("/api/kv-keep/")) {
            return renewLease(Long.parseLong(last), answer);
        }
        if (path.startsWith("/api/kv-lease-end/")) {
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

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        for (String pair : raw == null ? new String[0] : raw.split("&")) {
            String[] parts = pair.split("=", 2);
            query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
        }
        return query;
    }

    private synchronized int range(Map<String, String> query, ObjectNode answer) {
        String prefix = query.getOrDefault("prefix", "");
        String after = query.getOrDefault("after", "");
        ArrayNode page = answer.putArray("items");
        boolean more = false;
        for (Item item : items.tailMap(prefix, true).values()) {
            if (!item.key().startsWith(prefix)) {
                break;
            }
            if (item.key().compareTo(after) > 0) {
                if (page.size() == PAGE_ITEMS) {
                    more = true;
                    break;
                }
                page.add(json(item));
            }
        }
        answer.put("has_more", more).put("current_rev", revision);
        return 200;
    }

    private synchronized int watch(Map<String, String> query, ObjectNode answer)
            throws InterruptedException {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.get("after"));
        long endMs = Record.now() + Long.parseLong(query.get("wait_ms"));
        while (true) {
            ArrayNode events = answer.putArray("events");
            for (Event event : history) {
                if (event.revision() > after && event.key().startsWith(prefix)) {
                    events.add(json(event));
                }
            }
            long left = endMs - Record.now();
            if (!events.isEmpty() || left <= 0) {
                answer.put("current_rev", revision);
                return 200;
            }
            wait(left);
        }
    }

    private synchronized int change(JsonNode body, ObjectNode answer) {
        int entries =
                body.path("expected").size() + body.path("puts").size() + body.path("remove").size();
        if (entries > MAX_CHANGE_ENTRIES) {
            return 400;
        }
        boolean conflict = false;
        ArrayNode present = Http.JSON.createArrayNode();
        for (JsonNode row : body.path("expected")) {
            Item item = items.get(row.path("key").asText());
            conflict |= (item == null ? 0 : item.revision()) != row.path("revision").asLong();
            if (item != null) {
                present.add(json(item));
            }
        }
        if (conflict) {
            answer.set("items", present);
            return 412;
        }
        for (JsonNode row : body.path("puts")) {
            String key = row.path("key").asText();
            long lease = row.path("lease").asLong();
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                return 403;
            }
            if (lease != 0 && !leases.containsKey(lease)) {
                return 404;
            }
        }
        revision++;
        for (JsonNode row : body.path("puts")) {
            put(row.path("key").asText(), row.path("value").asText(), row.path("lease").asLong());
        }
        for (JsonNode key : body.path("remove")) {
            remove(key.asText());
        }
        answer.put("revision", revision);
        notifyAll();
        return 200;
    }

    private void put(String key, String value, long lease) {
        Item old = items.get(key);
        Item item = new Item(key, value, revision, old == null ? revision : old.created(), lease);
        items.put(key, item);
        history.add(new Event(revision, key, item));
    }

    private void remove(String key) {
        if (items.remove(key) != null) {
            history.add(new Event(revision, key, null));
        }
    }

    private synchronized int openLease(long ttlMs, ObjectNode answer) {
        Lease lease = new Lease();
        lease.ttlMs = Math.max(ttlMs, MIN_LEASE_MS);
        lease.endMs = Record.now() + lease.ttlMs;
        leases.put(++lastLease, lease);
        answer.put("lease", lastLease).put("ttl_ms", lease.ttlMs);
        return 200;
    }

    private synchronized int renewLease(long id, ObjectNode answer) {
        Lease lease = leases.get(id);
        if (lease == null) {
            return 404;
        }
        lease.endMs = Record.now() + lease.ttlMs;
        answer.put("ttl_ms", lease.ttlMs);
        return 200;
    }

    private synchronized void endLease(long id) {
        if (leases.remove(id) != null) {
            revision++;
            for (Item item : List.copyOf(items.values())) {
                if (item.lease() == id) {
                    remove(item.key());
                }
            }
            notifyAll();
        }
    }

    private void expireLeases() {
        try {
            while (true) {
                Thread.sleep(20);
                synchronized (this) {
                    for (Map.Entry<Long, Lease> lease : List.copyOf(leases.entrySet())) {
                        if (lease.getValue().endMs < Record.now()) {
                            endLease(lease.getKey());
                        }
                    }
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static ObjectNode json(Item item) {
        return Http.JSON
                .createObjectNode()
                .put("key", item.key())
                .put("value", item.value())
                .put("revision", item.revision())
                .put("created", item.created())
                .put("lease", item.lease());
    }

    private static ObjectNode json(Event event) {
        return event.item() != null
                ? json(event.item())
                : Http.JSON
                        .createObjectNode()
                        .put("key", event.key())
                        .put("revision", event.revision())
                        .put("deleted", true);
    }
}

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The state service of PROTOCOL, with an address of its own for each controller so that one can be treated apart. */
final class StateService implements AutoCloseable {
    private record Entry(Object data, long stamp, Long hold) {}

    private record Event(String key, boolean set, Object data, long stamp) {}

    private static final class Hold {
        long ttlNanos;
        long end;
        final HashSet<String> keys = new HashSet<>();
    }

    /** What happens to a request of one controller before it is carried out. */
    interface Gate {
        /** Returns null to carry the request out, or the answer that is given instead. */
        Http.Answer before(Http.Request request) throws Exception;
    }

    static final Http.Answer REFUSED = new Http.Answer(503, Map.of("error", "trouble"));
    private static final int CHANGES_KEPT = 10_000;
    private static final int PAGE_BYTES = 512 * 1024;

    private final Record record;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private final Map<Long, Hold> holds = new HashMap<>();
    private final List<Http.Server> servers = new ArrayList<>();
    final Map<Integer, Gate> gates = new ConcurrentHashMap<>();
    private long epoch;
    private long oldestKept;
    private long lastHold;
    private double requestTokens;
    private double writeTokens;
    private long refilledAt = System.nanoTime();
    private final double rps;
    private double writeRps;
    private double valueKb;
    private int txnOps;

    StateService(Record record, int nodes, double rps, double writeRps, double valueKb, int txnOps) throws Exception {
        this.record = record;
        this.rps = rps;
        this.writeRps = writeRps;
        this.valueKb = valueKb;
        this.txnOps = txnOps;
        requestTokens = rps;
        writeTokens = writeRps;
        for (int i = 0; i < nodes; i++) {
            int node = i;
            servers.add(new Http.Server(request -> serve(node, request)));
        }
    }

    String address(int node) {
        return servers.get(node).address();
    }

    /** The announced limits come into force. */
    synchronized void lowerLimits(double newWriteRps, double newValueKb, int newTxnOps) {
        record.log("state service: limits lowered to %.0f changes a second, %.0f KiB, %d changes", newWriteRps, newValueKb, newTxnOps);
        writeRps = newWriteRps;
        valueKb = newValueKb;
        txnOps = newTxnOps;
        writeTokens = Math.min(writeTokens, newWriteRps);
    }

    synchronized Object read(String key) {
        Entry entry = entries.get(key);
        return entry == null ? null : entry.data;
    }

    synchronized Map<String, Object> readAll(String prefix) {
        Map<String, Object> found = new LinkedHashMap<>();
        entries.tailMap(prefix).forEach((key, entry) -> {
            if (key.startsWith(prefix)) found.put(key, entry.data);
        });
        return found;
    }

    private Http.Answer serve(int node, Http.Request request) throws Exception {
        Gate gate = gates.get(node);
        Http.Answer instead = gate == null ? null : gate.before(request);
        if (instead != null) return instead;
        return carryOut(node, request);
    }

    /** Carries a request out, now or (for a held-back request) later. */
    synchronized Http.Answer carryOut(int node, Http.Request request) {
        long now = System.nanoTime();
        expire(now);
        requestTokens = Math.min(rps, requestTokens + (now - refilledAt) / 1e9 * rps);
        writeTokens = Math.min(writeRps, writeTokens + (now - refilledAt) / 1e9 * writeRps);
        refilledAt = now;
        if (requestTokens < 1) return new Http.Answer(429, Map.of("error", "too many requests"));
        requestTokens--;
        String path = request.path();
        if (path.equals("/txn")) return transaction(node, request);
        if (path.equals("/keys")) return list(request.query());
        if (path.startsWith("/keys/")) return get(path.substring(6));
        if (path.equals("/changes")) return changes(request.query());
        if (path.equals("/holds")) {
            Hold hold = new Hold();
            hold.ttlNanos = ((Number) request.fields().get("ttl_ms")).longValue() * 1_000_000;
            hold.end = now + hold.ttlNanos;
            holds.put(++lastHold, hold);
            return new Http.Answer(200, Map.of("hold", lastHold));
        }
        if (path.startsWith("/holds/")) {
            String[] parts = path.split("/");
            long id = Long.parseLong(parts[2]);
            Hold hold = holds.get(id);
            if (hold == null) return new Http.Answer(404, Map.of("epoch", epoch));
            if (request.method().equals("DELETE")) end(id); else hold.end = now + hold.ttlNanos;
            return new Http.Answer(200, Map.of("hold", id));
        }
        return new Http.Answer(400, Map.of("error", "no such path"));
    }

    /** After an outage every lease has its full time again. */
    synchronized void renewAll() {
        long now = System.nanoTime();
        holds.values().forEach(hold -> hold.end = now + hold.ttlNanos);
    }

    private void expire(long now) {
        for (Long id : new ArrayList<>(holds.keySet())) if (holds.get(id).end <= now) end(id);
    }

    private void end(long id) {
        Hold hold = holds.remove(id);
        if (hold.keys.isEmpty()) return;
        epoch++;
        for (String key : hold.keys) {
            record.log("state service: %s removed with its lease", key);
            entries.remove(key);
            addEvent(new Event(key, false, null, epoch));
        }
    }

    private void addEvent(Event event) {
        events.addLast(event);
        if (events.size() > CHANGES_KEPT) oldestKept = events.removeFirst().stamp;
    }

    private Http.Answer get(String key) {
        Entry entry = entries.get(key);
        if (entry == null) return new Http.Answer(404, Map.of("epoch", epoch));
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("path", key);
        body.put("data", entry.data);
        body.put("stamp", entry.stamp);
        if (entry.hold != null) body.put("hold", entry.hold);
        return new Http.Answer(200, body);
    }

    private Http.Answer list(Map<String, String> query) {
        String under = query.get("under");
        String after = query.getOrDefault("after", "");
        int page = Math.min(1000, Integer.parseInt(query.getOrDefault("page", "1000")));
        List<Object> found = new ArrayList<>();
        int bytes = 0;
        boolean more = false;
        for (Map.Entry<String, Entry> e : entries.tailMap(under.compareTo(after) > 0 ? under : after).entrySet()) {
            if (!e.getKey().startsWith(under)) break;
            if (e.getKey().compareTo(after) <= 0) continue;
            Map<String, Object> item = Map.of("path", e.getKey(), "data", e.getValue().data, "stamp", e.getValue().stamp);
            int size = Cbor.jsonSize(item) + 1;
            if (found.size() == page || bytes + size > PAGE_BYTES) {
                more = true;
                break;
            }
            bytes += size;
            found.add(item);
        }
        return new Http.Answer(200, Map.of("entries", found, "has_next", more, "epoch", epoch));
    }

    private Http.Answer changes(Map<String, String> query) {
        long after = Long.parseLong(query.get("after"));
        if (after < oldestKept) return new Http.Answer(410, Map.of("error", "too old"));
        List<Object> found = new ArrayList<>();
        for (Event event : events) {
            if (event.stamp <= after || !event.key.startsWith(query.get("under"))) continue;
            found.add(event.set
                ? Map.of("set", event.key, "data", event.data, "stamp", event.stamp)
                : Map.of("drop", event.key, "stamp", event.stamp));
        }
        return new Http.Answer(200, Map.of("epoch", epoch, "events", found));
    }

    @SuppressWarnings("unchecked")
    private Http.Answer transaction(int node, Http.Request request) {
        List<Map<String, Object>> guards = (List<Map<String, Object>>) request.fields().getOrDefault("guards", List.of());
        List<Map<String, Object>> writes = (List<Map<String, Object>>) request.fields().getOrDefault("writes", List.of());
        if (writes.size() > txnOps || guards.size() > 4 * txnOps) return tooLarge(node, "too many operations");
        if (Cbor.jsonSize(request.body()) > 64 * 1024) return tooLarge(node, "transaction over 64 KiB");
        for (Map<String, Object> write : writes) {
            int size = write.containsKey("set") ? Cbor.jsonSize(write.get("data")) : 0;
            if (size > valueKb * 1024) return tooLarge(node, "value of " + write.get("set") + " takes " + size + " bytes");
        }
        if (writeTokens < writes.size()) return new Http.Answer(429, Map.of("error", "too many changes"));
        writeTokens -= writes.size();
        List<Object> failed = new ArrayList<>();
        for (Map<String, Object> guard : guards) {
            Entry entry = entries.get((String) guard.get("path"));
            if ((entry == null ? 0 : entry.stamp) != ((Number) guard.get("stamp")).longValue()) failed.add(guard.get("path"));
        }
        for (Map<String, Object> write : writes) {
            Object hold = write.get("hold");
            if (hold != null && !holds.containsKey(((Number) hold).longValue())) {
                return new Http.Answer(400, Map.of("error", "no such lease"));
            }
        }
        if (!failed.isEmpty()) return new Http.Answer(409, Map.of("failed", failed, "epoch", epoch));
        if (!writes.isEmpty()) epoch++;
        for (Map<String, Object> write : writes) {
            String key = (String) (write.containsKey("set") ? write.get("set") : write.get("drop"));
            Entry old = entries.get(key);
            if (old != null && old.hold != null && holds.containsKey(old.hold)) holds.get(old.hold).keys.remove(key);
            if (write.containsKey("set")) {
                Long hold = write.get("hold") == null ? null : ((Number) write.get("hold")).longValue();
                entries.put(key, new Entry(write.get("data"), epoch, hold));
                if (hold != null) holds.get(hold).keys.add(key);
                addEvent(new Event(key, true, write.get("data"), epoch));
            } else if (old != null) {
                entries.remove(key);
                addEvent(new Event(key, false, null, epoch));
            }
            if (!key.startsWith("u/log/")) {
                record.log("state service: node %d %s %s %s", node, write.containsKey("set") ? "set" : "drop", key,
                    key.startsWith("u/job/") ? "" : String.valueOf(write.get("data")));
            }
        }
        return new Http.Answer(200, Map.of("epoch", epoch));
    }

    private Http.Answer tooLarge(int node, String reason) {
        record.log("state service: 400 to node %d: %s", node, reason);
        return new Http.Answer(400, Map.of("error", reason));
    }

    @Override
    public void close() throws Exception {
        for (Http.Server server : servers) server.close();
    }
}

import com.sun.net.httpserver.HttpServer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A state service as PROTOCOL describes it, in memory. */
final class Store implements AutoCloseable {
    private static final class Row {
        Object data;
        long stamp;
        Long hold;
    }

    private static final class Hold {
        double ttl;
        double endsAt;
    }

    private static final class Change {
        final String key;
        final Object data;
        final boolean dropped;
        final long stamp;

        Change(String key, Object data, boolean dropped, long stamp) {
            this.key = key;
            this.data = data;
            this.dropped = dropped;
            this.stamp = stamp;
        }
    }

    /** Decides what happens to a request; used to bring about the named troubles. */
    interface Trouble {
        /** Returns an answer that is sent instead of carrying the request out, or null to carry it out. */
        Http.Answer before(Http.Request request) throws InterruptedException;
    }

    private static final int KEPT = 10_000;
    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final Map<Long, Hold> holds = new HashMap<>();
    private final ArrayList<Change> changes = new ArrayList<>();
    private long epoch = 0;
    private long lastHold = 0;
    private long oldestMissing = 0;
    private final Limit requests;
    private final Limit writes;
    private final int valueBytes;
    private final int txnOps;
    private final double latency;
    private final HttpServer server;
    volatile Trouble trouble;
    /** Requests by kind, and refusals, for the record. */
    final Map<String, Long> counts = new LinkedHashMap<>();

    Store(double rps, double writeRps, int valueBytes, int txnOps, double latency) throws Exception {
        requests = new Limit(rps);
        writes = new Limit(writeRps);
        this.valueBytes = valueBytes;
        this.txnOps = txnOps;
        this.latency = latency;
        server = Http.serve(this::serve);
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private Http.Answer serve(Http.Request request) throws Exception {
        if (latency > 0) Thread.sleep((long) (latency * 1000));
        Trouble now = trouble;
        if (now != null) {
            Http.Answer answer = now.before(request);
            if (answer != null) return answer;
        }
        return carryOut(request);
    }

    synchronized void count(String what) {
        counts.merge(what, 1L, Long::sum);
    }

    synchronized Http.Answer carryOut(Http.Request request) {
        expire();
        String kind = request.method + " " + request.path.replaceAll("^(/[a-z]+).*", "$1");
        count(kind);
        if (!requests.take(1)) {
            count("429 requests");
            return new Http.Answer(429, Map.of("error", "too many requests"));
        }
        if (request.path.equals("/txn")) return commit(request.body);
        if (request.path.equals("/keys")) return list(request.query);
        if (request.path.startsWith("/keys/")) return get(request.path.substring(6));
        if (request.path.equals("/changes")) return changes(request.query);
        if (request.path.equals("/holds")) {
            Hold hold = new Hold();
            hold.ttl = ((Number) request.body.get("ttl_ms")).doubleValue() / 1000;
            hold.endsAt = Kit.now() + hold.ttl;
            holds.put(++lastHold, hold);
            return new Http.Answer(200, Map.of("hold", lastHold));
        }
        if (request.path.startsWith("/holds/")) {
            String[] parts = request.path.split("/");
            long id = Long.parseLong(parts[2]);
            Hold hold = holds.get(id);
            if (hold == null) return new Http.Answer(404, Map.of("error", "no such lease"));
            if (request.method.equals("DELETE")) end(id); else hold.endsAt = Kit.now() + hold.ttl;
            return new Http.Answer(200, Map.of());
        }
        return new Http.Answer(400, Map.of("error", "no such path"));
    }

    /** Every lease has its full time again, as after an outage. */
    synchronized void outageEnds() {
        for (Hold hold : holds.values()) hold.endsAt = Kit.now() + hold.ttl;
        trouble = null;
    }

    volatile boolean out;

    private void expire() {
        if (out) return;
        for (Long id : new ArrayList<>(holds.keySet())) if (holds.get(id).endsAt <= Kit.now()) end(id);
    }

    private void end(long id) {
        holds.remove(id);
        List<String> keys = new ArrayList<>();
        for (Map.Entry<String, Row> row : rows.entrySet()) {
            if (row.getValue().hold != null && row.getValue().hold == id) keys.add(row.getKey());
        }
        if (keys.isEmpty()) return;
        epoch++;
        for (String key : keys) drop(key);
    }

    private void drop(String key) {
        if (rows.remove(key) != null) log(new Change(key, null, true, epoch));
    }

    private void log(Change change) {
        changes.add(change);
        if (changes.size() > 2 * KEPT) {
            oldestMissing = changes.get(changes.size() - KEPT - 1).stamp;
            changes.subList(0, changes.size() - KEPT).clear();
        }
    }

    private Http.Answer get(String key) {
        Row row = rows.get(key);
        if (row == null) return new Http.Answer(404, Map.of("epoch", epoch));
        return new Http.Answer(200, entry(key, row));
    }

    private Map<String, Object> entry(String key, Row row) {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("path", key);
        entry.put("data", row.data);
        entry.put("stamp", row.stamp);
        if (row.hold != null) entry.put("hold", row.hold);
        return entry;
    }

    private Http.Answer list(Map<String, String> query) {
        String prefix = query.get("under");
        int page = Math.min(1000, Integer.parseInt(query.getOrDefault("page", "1000")));
        String from = query.containsKey("after") ? query.get("after") : prefix;
        List<Object> entries = new ArrayList<>();
        int bytes = 0;
        boolean more = false;
        for (Map.Entry<String, Row> row : rows.tailMap(from, !query.containsKey("after")).entrySet()) {
            if (!row.getKey().startsWith(prefix)) {
                if (row.getKey().compareTo(prefix) > 0) break;
                continue;
            }
            bytes += Cbor.jsonSize(row.getValue().data) + row.getKey().length() + 40;
            if (entries.size() >= page || bytes > 512 * 1024) {
                more = true;
                break;
            }
            entries.add(entry(row.getKey(), row.getValue()));
        }
        return new Http.Answer(200, Map.of("entries", entries, "has_next", more, "epoch", epoch));
    }

    private Http.Answer changes(Map<String, String> query) {
        long after = Long.parseLong(query.get("after"));
        String prefix = query.get("under");
        if (after < oldestMissing) return new Http.Answer(410, Map.of("error", "too old"));
        int first = changes.size();
        while (first > 0 && changes.get(first - 1).stamp > after) first--;
        List<Object> events = new ArrayList<>();
        for (Change change : changes.subList(first, changes.size())) {
            if (!change.key.startsWith(prefix)) continue;
            Map<String, Object> event = new LinkedHashMap<>();
            event.put(change.dropped ? "drop" : "set", change.key);
            if (!change.dropped) event.put("data", change.data);
            event.put("stamp", change.stamp);
            events.add(event);
        }
        return new Http.Answer(200, Map.of("epoch", epoch, "events", events));
    }

    @SuppressWarnings("unchecked")
    private Http.Answer commit(Map<String, Object> txn) {
        List<Map<String, Object>> guards = (List<Map<String, Object>>) txn.getOrDefault("guards", List.of());
        List<Map<String, Object>> sets = (List<Map<String, Object>>) txn.getOrDefault("writes", List.of());
        if (sets.size() > txnOps || guards.size() > 4 * txnOps || Cbor.jsonSize(txn) > 64 * 1024) {
            count("400 txn size");
            return new Http.Answer(400, Map.of("error", "too large"));
        }
        for (Map<String, Object> write : sets) {
            if (write.containsKey("set") && Cbor.jsonSize(write.get("data")) > valueBytes) {
                count("400 value size");
                return new Http.Answer(400, Map.of("error", "value too large: " + write.get("set")));
            }
        }
        if (!writes.take(sets.size())) {
            count("429 writes");
            return new Http.Answer(429, Map.of("error", "too many writes"));
        }
        for (Map<String, Object> write : sets) {
            Object hold = write.get("hold");
            if (hold != null && !holds.containsKey(((Number) hold).longValue())) {
                return new Http.Answer(400, Map.of("error", "no such lease"));
            }
        }
        List<String> failed = new ArrayList<>();
        for (Map<String, Object> guard : guards) {
            String key = (String) guard.get("path");
            Row row = rows.get(key);
            if ((row == null ? 0 : row.stamp) != ((Number) guard.get("stamp")).longValue()) failed.add(key);
        }
        if (!failed.isEmpty()) return new Http.Answer(409, Map.of("failed", failed, "epoch", epoch));
        if (!sets.isEmpty()) epoch++;
        for (Map<String, Object> write : sets) {
            if (write.containsKey("drop")) {
                drop((String) write.get("drop"));
                continue;
            }
            Row row = new Row();
            row.data = write.get("data");
            row.stamp = epoch;
            row.hold = write.get("hold") == null ? null : ((Number) write.get("hold")).longValue();
            rows.put((String) write.get("set"), row);
            log(new Change((String) write.get("set"), row.data, false, epoch));
        }
        return new Http.Answer(200, Map.of("epoch", epoch));
    }

    /** A rate limit that allows bursts of one second's worth. */
    static final class Limit {
        private final double rate;
        private double tokens;
        private double at = Kit.now();

        Limit(double rate) {
            this.rate = rate;
            tokens = rate;
        }

        boolean take(int count) {
            double now = Kit.now();
            tokens = Math.min(rate, tokens + (now - at) * rate);
            at = now;
            if (count > tokens) return false;
            tokens -= count;
            return true;
        }
    }

    @Override
    public void close() {
        server.stop(0);
    }
}

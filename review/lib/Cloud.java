import com.sun.net.httpserver.HttpServer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A cloud as PROTOCOL describes it. A worker starts on each machine once the machine is up. */
final class Cloud implements AutoCloseable {
    static final class Type {
        final String label;
        final double vcpus;
        final double accelerators;
        final double memory;
        final double pull;
        final double rate;
        final double marketPrice;
        final double boot;
        final List<String> halls;

        Type(String label, double vcpus, double accelerators, double memory, double pull, double rate,
             double marketPrice, double boot, List<String> halls) {
            this.label = label;
            this.vcpus = vcpus;
            this.accelerators = accelerators;
            this.memory = memory;
            this.pull = pull;
            this.rate = rate;
            this.marketPrice = marketPrice;
            this.boot = boot;
            this.halls = halls;
        }
    }

    static final class Machine {
        String name;
        Type type;
        String hall;
        boolean reclaimable;
        double rentedAt;
        double upAt;
        /** When the machine stopped on its own. It is listed as running for 30 s more, then as failed. */
        double diedAt = Double.MAX_VALUE;
        /** When the machine was deleted or taken. */
        double goneAt = Double.MAX_VALUE;

        boolean isGone() {
            return goneAt <= Kit.now();
        }
    }

    interface Listener {
        void up(Machine machine);

        void gone(Machine machine);
    }

    private final Map<String, Type> types = new LinkedHashMap<>();
    private final Map<String, Integer> capacity;
    private final double listLag;
    private final double bootFactor;
    private final Store.Limit requests;
    private final Listener listener;
    private final LinkedHashMap<String, Machine> machines = new LinkedHashMap<>();
    private final Map<String, List<String>> hires = new HashMap<>();
    private final HttpServer server;
    volatile boolean out;
    volatile Store.Trouble trouble;

    /** [capacity]: the number of machines by "type/hall/kind", kind is "spot" or "ordinary". */
    Cloud(List<Type> types, Map<String, Integer> capacity, double rps, double listLag, double bootFactor,
          Listener listener) throws Exception {
        for (Type type : types) this.types.put(type.label, type);
        this.capacity = capacity;
        this.listLag = listLag;
        this.bootFactor = bootFactor;
        this.requests = new Store.Limit(rps);
        this.listener = listener;
        server = Http.serve(this::handle);
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private Http.Answer handle(Http.Request request) throws Exception {
        Thread.sleep(100);
        Store.Trouble now = trouble;
        if (now != null) {
            Http.Answer answer = now.before(request);
            if (answer != null) return answer;
        }
        return carryOut(request);
    }

    synchronized Http.Answer carryOut(Http.Request request) {
        if (!requests.take(1)) return new Http.Answer(429, Map.of("error", "too many requests"));
        if (out) return new Http.Answer(503, Map.of("error", "trouble"));
        if (request.path.equals("/flavors")) return flavors();
        if (request.path.equals("/rentals/release")) return release(request.body);
        if (request.path.equals("/rentals") && request.method.equals("POST")) return rent(request.body);
        if (request.path.equals("/rentals")) return list(request.query);
        return new Http.Answer(400, Map.of("error", "no such path"));
    }

    private Http.Answer flavors() {
        List<Object> all = new ArrayList<>();
        for (Type type : types.values()) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("label", type.label);
            fields.put("vcpus", type.vcpus);
            fields.put("accelerators", type.accelerators);
            fields.put("memory_gb", type.memory);
            fields.put("local_gb", 50.0);
            fields.put("pull_gb_per_s", type.pull);
            fields.put("rate", type.rate);
            fields.put("market_price", type.marketPrice);
            fields.put("boot_s", type.boot);
            fields.put("halls", type.halls);
            all.add(fields);
        }
        return new Http.Answer(200, Map.of("hosttypes", all));
    }

    private static String kind(boolean reclaimable) {
        return reclaimable ? "spot" : "ordinary";
    }

    private int free(String offer) {
        int used = 0;
        for (Machine machine : machines.values()) {
            String its = machine.type.label + "/" + machine.hall + "/" + kind(machine.reclaimable);
            if (!machine.isGone() && machine.diedAt > Kit.now() && its.equals(offer)) used++;
        }
        return capacity.getOrDefault(offer, 0) - used;
    }

    private Http.Answer rent(Map<String, Object> body) {
        String hire = (String) body.get("hire");
        Type type = types.get(body.get("hosttype"));
        String hall = (String) body.get("hall");
        boolean reclaimable = Boolean.TRUE.equals(body.get("reclaimable"));
        int number = ((Number) body.get("number")).intValue();
        if (type == null || number < 1 || number > 50 || !type.halls.contains(hall)) {
            return new Http.Answer(400, Map.of("error", "malformed"));
        }
        if (hires.containsKey(hire)) return new Http.Answer(200, Map.of("hosts", hires.get(hire)));
        int free = Math.min(number, free(type.label + "/" + hall + "/" + kind(reclaimable)));
        if (free <= 0) {
            Kit.note("cloud: %s asks for %d %s in %s (%s): no capacity", hire, number, type.label, hall, kind(reclaimable));
            return new Http.Answer(503, Map.of("error", "no capacity"));
        }
        List<String> names = new ArrayList<>();
        for (int i = 0; i < free; i++) names.add(add(type, hall, reclaimable, type.boot * bootFactor).name);
        hires.put(hire, names);
        Kit.note("cloud: %s rents %s in %s (%s): %s", hire, type.label, hall, kind(reclaimable), names);
        return new Http.Answer(200, Map.of("hosts", names));
    }

    /** Adds a machine that is up after [boot] seconds. */
    synchronized Machine add(Type type, String hall, boolean reclaimable, double boot) {
        Machine machine = new Machine();
        machine.name = String.format("host-%06d", machines.size() + 1);
        machine.type = type;
        machine.hall = hall;
        machine.reclaimable = reclaimable;
        machine.rentedAt = Kit.now();
        machine.upAt = Kit.now() + boot;
        machines.put(machine.name, machine);
        Kit.start(() -> {
            Kit.sleep(boot);
            if (!machine.isGone()) listener.up(machine);
        });
        return machine;
    }

    Type type(String label) {
        return types.get(label);
    }

    private Http.Answer release(Map<String, Object> body) {
        List<?> names = (List<?>) body.get("hosts");
        if (names == null || names.size() > 100) return new Http.Answer(400, Map.of("error", "malformed"));
        for (Object name : names) {
            Machine machine = machines.get(name);
            if (machine == null || machine.isGone()) continue;
            Kit.note("cloud: %s is released", name);
            remove(machine);
        }
        return new Http.Answer(200, Map.of());
    }

    /** The machine stops with all that is on it. */
    synchronized void die(Machine machine) {
        Kit.say("%s in %s stops with all that is on it", machine.name, machine.hall);
        machine.diedAt = Kit.now();
        listener.gone(machine);
    }

    /** The machine is deleted or taken back. */
    synchronized void remove(Machine machine) {
        if (machine.isGone()) return;
        machine.goneAt = Kit.now();
        listener.gone(machine);
    }

    private Http.Answer list(Map<String, String> query) {
        double at = Kit.now() - listLag;
        String after = query.getOrDefault("after", "");
        int page = Math.min(500, Integer.parseInt(query.getOrDefault("page", "500")));
        List<Object> listed = new ArrayList<>();
        boolean more = false;
        for (Machine machine : machines.values()) {
            if (machine.name.compareTo(after) <= 0 || machine.rentedAt > at || machine.goneAt <= at) continue;
            if (listed.size() == page) {
                more = true;
                break;
            }
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("uid", machine.name);
            fields.put("endpoint", "127.0.0.1:1");
            fields.put("hosttype", machine.type.label);
            fields.put("hall", machine.hall);
            fields.put("reclaimable", machine.reclaimable);
            fields.put("status", machine.diedAt + 30 <= at ? "failed" : machine.upAt <= at ? "running" : "booting");
            fields.put("age_s", at - machine.rentedAt);
            listed.add(fields);
        }
        return new Http.Answer(200, Map.of("hosts", listed, "has_next", more));
    }

    @Override
    public void close() {
        server.stop(0);
    }
}

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The cloud and the machines with their workers, as PROTOCOL describes them. */
final class Fleet implements AutoCloseable {
    record Type(String label, double vcpus, double memoryGb, double rate, double marketPrice, double bootS, double pullGbPerS) {}

    /** The workers' times in the settings. */
    record Times(double reportS, double leaseS, double gangWaitS, double gangPeerS) {}

    /** Whether a machine reaches a controller. A machine that doesn't gets no answer and no reset. */
    interface Links {
        boolean reaches(Machine machine, int node);
    }

    private static final class Task {
        final String piece;
        final long attempt;
        final Map<String, Object> job;
        String status = "fetching";
        String cause;
        boolean saved;
        double progressS;
        double savesUntil;
        double imageAt;
        double gathersSince;
        Gang gang;

        Task(String piece, long attempt, Map<String, Object> job) {
            this.piece = piece;
            this.attempt = attempt;
            this.job = job;
        }

        boolean isOnMachine() {
            return status.equals("running") || status.equals("saving") || status.equals("gathering");
        }
    }

    /** The tasks of one attempt of a gang, from when all of them are there. */
    private static final class Gang {
        final List<Task> members = new ArrayList<>();
        final List<Machine> machines = new ArrayList<>();
        double progressS;
        double brokenAt = Double.MAX_VALUE;
        double stoppedAt = Double.MAX_VALUE;
        boolean saved;
    }

    final class Machine {
        final String host;
        final Type type;
        final String hall;
        final boolean reclaimable;
        final double createdAt;
        double upAt;
        double goneAt = Double.MAX_VALUE;
        double hungUntil;
        double takenAt = Double.MAX_VALUE;
        double stoppedAt = Double.MAX_VALUE;
        int node;
        long shift = 1;
        long counter;
        long warrant;
        double leaseBase;
        double reportedAt;
        boolean changed;
        final Set<String> images = new HashSet<>();
        final Map<String, Task> tasks = new LinkedHashMap<>();
        private Http.Server server;
        private final Random random;

        Machine(String host, Type type, String hall, boolean reclaimable, double createdAt, double bootS) {
            this.host = host;
            this.type = type;
            this.hall = hall;
            this.reclaimable = reclaimable;
            this.createdAt = createdAt;
            upAt = createdAt + bootS;
            random = new Random(host.hashCode());
            node = random.nextInt(nodes.size());
        }

        boolean isGone() {
            return goneAt <= now() || stoppedAt <= now();
        }

        private boolean isHung() {
            return hungUntil > now();
        }

        private Map<String, Object> report() {
            Map<String, Object> report = new LinkedHashMap<>();
            report.put("host", host);
            report.put("endpoint", server.address());
            report.put("hosttype", type.label);
            report.put("hall", hall);
            report.put("reclaimable", reclaimable);
            report.put("shift", shift);
            report.put("counter", ++counter);
            report.put("warrant", warrant);
            report.put("warning_s", takenAt == Double.MAX_VALUE ? null : (Object) Math.max(0, takenAt - now()));
            List<Object> pieces = new ArrayList<>();
            for (Task task : tasks.values()) {
                Map<String, Object> piece = new LinkedHashMap<>();
                piece.put("piece", task.piece);
                piece.put("try", task.attempt);
                piece.put("status", task.status);
                if (task.cause != null) piece.put("cause", task.cause);
                if (task.saved) piece.put("saved", true);
                pieces.add(piece);
            }
            report.put("pieces", pieces);
            return report;
        }

        private void run() {
            sleep(upAt - now());
            synchronized (lock) {
                leaseBase = now();
            }
            try {
                server = new Http.Server(this::direct);
                Http.Client[] clients = new Http.Client[nodes.size()];
                for (int i = 0; i < clients.length; i++) clients[i] = new Http.Client(nodes.get(i));
                while (!isGone()) {
                    if (!isHung()) reportOnce(clients);
                    double due = reportedAt + times.reportS * (0.75 + random.nextDouble() / 2);
                    while (!isGone() && now() < due && !(changed && now() >= reportedAt + 0.5)) sleep(0.02);
                }
                server.close();
            } catch (Exception e) {
                if (!closed) record.log("worker %s failed: %s", host, e);
            }
        }

        private void reportOnce(Http.Client[] clients) {
            Map<String, Object> report;
            double sentAt;
            long session;
            int to = node;
            synchronized (lock) {
                checkLease();
                changed = false;
                sentAt = now();
                reportedAt = sentAt;
                session = shift;
                report = report();
            }
            Http.Answer answer = null;
            String failure = "no connection";
            if (links.reaches(this, to)) {
                try {
                    answer = clients[to].call("POST", "/agent/beat", report, 4000);
                } catch (Exception e) {
                    failure = e.toString();
                }
            } else {
                clients[to].close();
                sleep(4);
                failure = "silence";
            }
            while (isHung()) sleep(0.02);
            if (isGone()) return;
            if (answer != null && !links.reaches(this, to)) answer = null;
            if (answer == null || now() - sentAt > 4) {
                record.log("%s -> node %d: %s", host, to, failure);
                clients[to].close();
                sleep(1);
                node = (to + 1) % nodes.size();
                return;
            }
            if (answer.status() != 200) {
                Object named = answer.status() == 421 ? answer.fields().get("dispatcher") : null;
                int other = named == null ? -1 : names.indexOf(named);
                if (answer.status() == 421) clients[to].close();
                if (other >= 0 && other != to) {
                    node = other;
                    sleep(random.nextDouble() / 2);
                } else {
                    sleep(1);
                    node = (to + 1) % nodes.size();
                }
                changed = true;
                return;
            }
            synchronized (lock) {
                checkLease();
                Object token = answer.fields().get("warrant");
                if (session != shift || token == null || ((Number) token).longValue() < warrant) return;
                if (((Number) token).longValue() > warrant) changed = true;
                warrant = ((Number) token).longValue();
                leaseBase = sentAt;
                execute(answer.fields().get("orders"), "node " + to);
            }
        }

        @SuppressWarnings("unchecked")
        private void execute(Object orders, String from) {
            if (orders == null) return;
            for (Map<String, Object> order : (List<Map<String, Object>>) orders) {
                String piece = (String) order.get("piece");
                long attempt = ((Number) order.get("try")).longValue();
                String key = piece + "#" + attempt;
                Task task = tasks.get(key);
                record.log("%s <- %s (token %d): %s %s", host, from, warrant, order.get("verb"), key);
                switch ((String) order.get("verb")) {
                    case "start" -> start(key, piece, attempt);
                    case "stop" -> {
                        if (task != null && !task.status.equals("ended")) {
                            stop(task, ((Number) order.get("wind_down_s")).doubleValue());
                        }
                    }
                    case "clear" -> {
                        if (task != null && task.status.equals("ended")) tasks.remove(key);
                        changed = true;
                    }
                    default -> record.log("unknown order %s", order);
                }
            }
        }

        private void start(String key, String piece, long attempt) {
            if (tasks.containsKey(key)) return;
            Map<String, Object> job = jobs.get(piece.substring(0, piece.lastIndexOf('/')));
            Task task = new Task(piece, attempt, job);
            tasks.put(key, task);
            changed = true;
            if (job == null) {
                end(task, "unknown");
                return;
            }
            double vcpus = 0;
            double memory = 0;
            for (Task other : tasks.values()) {
                if (other == task || other.status.equals("ended")) continue;
                if (other.piece.equals(piece)) {
                    end(task, "busy");
                    return;
                }
                vcpus += number(other.job, "vcpus");
                memory += number(other.job, "memory_gb");
            }
            if (vcpus + number(job, "vcpus") > type.vcpus + 1e-6 || memory + number(job, "memory_gb") > type.memoryGb + 1e-6) {
                end(task, "full");
                return;
            }
            boolean cached = images.contains((String) job.get("bundle"));
            task.imageAt = cached ? now() : now() + number(job, "image_gb") / type.pullGbPerS;
            if (cached) begin(task);
        }

        private void begin(Task task) {
            images.add((String) task.job.get("bundle"));
            if (done.contains(task.piece)) {
                end(task, "done");
                return;
            }
            if (task.job.get("shape").equals("gang")) {
                task.status = "gathering";
                task.gathersSince = now();
            } else {
                task.status = "running";
                task.progressS = checkpoints.getOrDefault(task.piece, 0.0);
            }
            started(this, task.piece, task.attempt, task.job);
            changed = true;
        }

        private void stop(Task task, double windDownS) {
            if (task.gang != null) {
                stopMember(task, windDownS);
                return;
            }
            boolean saves = number(task.job, "savepoint_s") > 0;
            if (saves && task.status.equals("running") && windDownS >= number(task.job, "saving_s")) {
                task.status = "saving";
                task.savesUntil = now() + number(task.job, "saving_s");
                changed = true;
            } else if (!task.status.equals("saving") || windDownS == 0) {
                end(task, "halted");
            }
        }

        private void stopMember(Task task, double windDownS) {
            Gang gang = task.gang;
            boolean saves = number(task.job, "savepoint_s") > 0 && windDownS >= number(task.job, "saving_s");
            if (task.status.equals("saving") && windDownS > 0) return;
            if (!saves || task.status.equals("saving")) {
                end(task, "halted");
                return;
            }
            gang.stoppedAt = Math.min(gang.stoppedAt, now());
            task.status = "saving";
            task.savesUntil = now() + number(task.job, "saving_s");
            changed = true;
        }

        private void end(Task task, String cause) {
            task.status = "ended";
            task.cause = cause;
            changed = true;
            record.log("%s: %s#%d ended: %s", host, task.piece, task.attempt, cause);
        }

        private void checkLease() {
            if (now() - leaseBase <= times.leaseS) return;
            int alive = 0;
            for (Task task : tasks.values()) if (task.isOnMachine()) alive++;
            record.log("%s: lease expired, session %d ends, %d tasks killed", host, shift, alive);
            tasks.clear();
            shift++;
            counter = 0;
            leaseBase = now();
            changed = true;
        }

        private void tick(double stepS) {
            if (isGone() || now() < upAt || isHung() || server == null) return;
            checkLease();
            for (Task task : tasks.values()) {
                if (task.status.equals("fetching") && now() >= task.imageAt) {
                    begin(task);
                } else if (task.status.equals("gathering")) {
                    if (now() - task.gathersSince > times.gangWaitS) end(task, "alone");
                } else if (task.gang != null) {
                    tickMember(task);
                } else if (task.status.equals("running")) {
                    task.progressS += stepS;
                    double savepoint = number(task.job, "savepoint_s");
                    if (savepoint > 0) checkpoints.put(task.piece, Math.floor(task.progressS / savepoint) * savepoint);
                    if (!task.job.get("shape").equals("daemon") && task.progressS >= runS(task.job)) {
                        done.add(task.piece);
                        end(task, "done");
                    }
                } else if (task.status.equals("saving") && now() >= task.savesUntil) {
                    checkpoints.put(task.piece, task.progressS);
                    task.saved = true;
                    end(task, "halted");
                }
            }
        }

        private void tickMember(Task task) {
            Gang gang = task.gang;
            if (task.status.equals("ended")) return;
            if (now() > gang.brokenAt + times.gangPeerS / 2) {
                end(task, "peers");
            } else if (task.status.equals("saving") && now() >= task.savesUntil) {
                boolean allSaved = gang.members.stream().allMatch(m -> m.status.equals("saving") && now() >= m.savesUntil);
                if (allSaved || gang.saved) {
                    if (!gang.saved) checkpoints.put(uid(task.piece), gang.progressS);
                    gang.saved = true;
                    task.saved = true;
                    end(task, "halted");
                }
            }
        }

        private Http.Answer direct(Http.Request request) {
            while (isHung()) sleep(0.02);
            synchronized (lock) {
                if (request.path().equals("/status")) return new Http.Answer(200, report());
                Object token = request.fields().get("warrant");
                Object session = request.fields().get("shift");
                if (token == null || session == null) return new Http.Answer(400, Map.of("error", "field missing"));
                if (((Number) token).longValue() < warrant || ((Number) session).longValue() != shift) {
                    return new Http.Answer(409, report());
                }
                warrant = ((Number) token).longValue();
                execute(request.fields().get("orders"), "direct command");
                return new Http.Answer(200, report());
            }
        }
    }

    private final Record record;
    private final Times times;
    private final List<Type> types;
    private final List<String> halls;
    private final double listLagS;
    /** Machines that the cloud still has, of all types, zones and kinds. It has none for good if this begins with 0. */
    private int capacity;
    private double bootFactor = 1;
    private final Object lock = new Object();
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final Map<String, List<String>> hires = new HashMap<>();
    private final Map<String, Map<String, Object>> jobs = new ConcurrentHashMap<>();
    private final Map<String, Double> runSeconds = new ConcurrentHashMap<>();
    private final Set<String> done = new HashSet<>();
    private final Map<String, Double> checkpoints = new HashMap<>();
    private final List<Gang> gangs = new ArrayList<>();
    private final Map<String, Integer> starts = new HashMap<>();
    private final Map<String, Double> limits;
    private List<String> nodes = List.of();
    private List<String> names = List.of();
    private volatile boolean closed;
    volatile Links links = (machine, node) -> true;
    private final Http.Server cloud;
    /** What was seen against the rules `ran_twice`, `quota` and `wrong_place`. */
    final List<String> violations = new ArrayList<>();

    Fleet(Record record, Times times, List<Type> types, List<String> halls, double listLagS, int capacity,
          Map<String, Double> limits) throws Exception {
        this.record = record;
        this.times = times;
        this.types = types;
        this.halls = halls;
        this.listLagS = listLagS;
        this.capacity = capacity == 0 ? -1_000_000 : capacity;
        this.limits = limits;
        cloud = new Http.Server(this::serveCloud);
        Http.start(this::tickAll);
    }

    String cloudAddress() {
        return cloud.address();
    }

    /** Must be called before any machine is up. */
    void setNodes(List<String> nodeNames, List<String> addresses) {
        names = nodeNames;
        nodes = addresses;
    }

    double now() {
        return record.now();
    }

    static void sleep(double seconds) {
        if (seconds <= 0) return;
        try {
            Thread.sleep((long) Math.ceil(seconds * 1000));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static double number(Map<String, Object> job, String field) {
        return ((Number) job.get(field)).doubleValue();
    }

    private double runS(Map<String, Object> job) {
        return runSeconds.get((String) job.get("uid"));
    }

    /** The user uploads the job's description; its tasks run for this long. */
    void upload(Map<String, Object> job, double runS) {
        runSeconds.put((String) job.get("uid"), runS);
        jobs.put((String) job.get("uid"), job);
    }

    /** Machines boot in this many times the usual time of their type; the pages allow 0.6 to 1.5, and at times less. */
    void setBootFactor(double factor) {
        bootFactor = factor;
    }

    /** Adds machines that are up already. */
    List<Machine> addUp(Type type, String hall, boolean reclaimable, int number) {
        List<Machine> added = new ArrayList<>();
        synchronized (lock) {
            for (int i = 0; i < number; i++) added.add(add(type, hall, reclaimable, 0));
        }
        return added;
    }

    private Machine add(Type type, String hall, boolean reclaimable, double bootS) {
        String host = String.format("host-%06d", machines.size() + 1);
        Machine machine = new Machine(host, type, hall, reclaimable, now() - (bootS == 0 ? 600 : 0), bootS == 0 ? 600 : bootS);
        machines.put(host, machine);
        Http.start(machine::run);
        return machine;
    }

    private void tickAll() {
        double last = now();
        while (!closed) {
            sleep(0.02);
            synchronized (lock) {
                double step = now() - last;
                last = now();
                for (Machine machine : machines.values()) {
                    if (machine.takenAt <= now() && !machine.isGone()) take(machine);
                    machine.tick(step);
                }
                tickGangs(step);
            }
        }
    }

    private static String uid(String piece) {
        return piece.substring(0, piece.lastIndexOf('/'));
    }

    private void tickGangs(double step) {
        Map<String, Gang> gathering = new HashMap<>();
        for (Machine machine : machines.values()) {
            if (machine.isGone() || machine.isHung()) continue;
            for (Task task : machine.tasks.values()) {
                if (!task.status.equals("gathering")) continue;
                Gang gang = gathering.computeIfAbsent(uid(task.piece) + "#" + task.attempt, key -> new Gang());
                gang.members.add(task);
                gang.machines.add(machine);
            }
        }
        for (Gang gang : gathering.values()) {
            Map<String, Object> job = gang.members.get(0).job;
            if (gang.members.size() < ((Number) job.get("pieces")).intValue()) continue;
            gang.progressS = checkpoints.getOrDefault((String) job.get("uid"), 0.0);
            record.log("gang %s runs from %.1f s", job.get("uid"), gang.progressS);
            gangs.add(gang);
            for (int i = 0; i < gang.members.size(); i++) {
                gang.members.get(i).gang = gang;
                gang.members.get(i).status = "running";
                gang.machines.get(i).changed = true;
            }
        }
        for (Gang gang : new ArrayList<>(gangs)) {
            Map<String, Object> job = gang.members.get(0).job;
            boolean complete = true;
            for (int i = 0; i < gang.members.size(); i++) {
                Task task = gang.members.get(i);
                Machine machine = gang.machines.get(i);
                boolean present = machine.tasks.get(task.piece + "#" + task.attempt) == task && !machine.isGone();
                if (!present || machine.isHung() || task.status.equals("ended") && !gang.saved) complete = false;
                if (now() > gang.stoppedAt + times.gangPeerS && task.status.equals("running")) complete = false;
            }
            if (!complete && gang.brokenAt == Double.MAX_VALUE) gang.brokenAt = now();
            if (gang.members.stream().allMatch(task -> task.status.equals("ended"))) gangs.remove(gang);
            if (!complete || gang.stoppedAt != Double.MAX_VALUE) continue;
            gang.progressS += step;
            double savepoint = number(job, "savepoint_s");
            if (savepoint > 0) checkpoints.put((String) job.get("uid"), Math.floor(gang.progressS / savepoint) * savepoint);
            if (gang.progressS >= runS(job)) {
                for (int i = 0; i < gang.members.size(); i++) {
                    done.add(gang.members.get(i).piece);
                    gang.machines.get(i).end(gang.members.get(i), "done");
                }
                gangs.remove(gang);
            }
        }
    }

    /** The cloud takes the machine back. */
    void take(Machine machine) {
        synchronized (lock) {
            record.log("%s is taken", machine.host);
            machine.goneAt = now();
            machine.tasks.clear();
            capacity++;
        }
    }

    private void checkPlace(Machine machine, String piece, Map<String, Object> job) {
        Object hosttypes = job.get("hosttypes");
        boolean allowed = (hosttypes == null || ((List<?>) hosttypes).contains(machine.type.label))
            && (job.get("hall") == null || job.get("hall").equals(machine.hall))
            && (!machine.reclaimable || (Boolean) job.get("reclaimable"));
        int here = 0;
        boolean elsewhere = false;
        for (Machine other : machines.values()) {
            if (other.isGone()) continue;
            for (Task task : other.tasks.values()) {
                if (!task.isOnMachine() || !uid(task.piece).equals(job.get("uid"))) continue;
                if (other.hall.equals(machine.hall)) here++; else elsewhere = true;
            }
        }
        int pieces = ((Number) job.get("pieces")).intValue();
        if ((Boolean) job.get("one_zone") && elsewhere) allowed = false;
        if ((Boolean) job.get("spread") && here > (pieces + 1) / 2) allowed = false;
        if (!allowed) violate("wrong_place: %s starts on %s in %s", piece, machine.host, machine.hall);
    }

    private void started(Machine machine, String piece, long attempt, Map<String, Object> job) {
        record.log("%s: %s#%d starts", machine.host, piece, attempt);
        starts.merge(piece, 1, Integer::sum);
        checkPlace(machine, piece, job);
        String team = (String) job.get("owner");
        double used = 0;
        for (Machine other : machines.values()) {
            if (other.isGone()) continue;
            for (Task task : other.tasks.values()) {
                if (!task.isOnMachine()) continue;
                if (task.job.get("owner").equals(team)) used += number(task.job, "vcpus");
                if (other != machine && task.piece.equals(piece)) {
                    violate("ran_twice: %s starts on %s while it is on %s", piece, machine.host, other.host);
                }
            }
        }
        double limit = limits.getOrDefault(team, 0.0);
        if (limit > 0 && used > limit + 1e-6) violate("quota: tasks of %s use %.1f CPUs, the limit is %.1f", team, used, limit);
    }

    private void violate(String format, Object... arguments) {
        String text = String.format(format, arguments);
        violations.add(text);
        record.log("RULE BROKEN %s", text);
    }

    /** The starts of each task so far. */
    Map<String, Integer> starts() {
        synchronized (lock) {
            return new HashMap<>(starts);
        }
    }

    /** The number of this job's tasks that are on machines. */
    int onMachines(String uid) {
        synchronized (lock) {
            int count = 0;
            for (Machine machine : machines.values()) {
                if (machine.isGone()) continue;
                for (Task task : machine.tasks.values()) {
                    if (task.isOnMachine() && task.piece.startsWith(uid + "/")) count++;
                }
            }
            return count;
        }
    }

    /** The number of this job's tasks that have completed. */
    int doneCount(String uid) {
        synchronized (lock) {
            return (int) done.stream().filter(piece -> piece.startsWith(uid + "/")).count();
        }
    }

    /** The CPUs that no task takes on the machines that are up, in this zone or (null) in all. */
    double freeCpus(String hall) {
        synchronized (lock) {
            double free = 0;
            for (Machine machine : machines.values()) {
                if (machine.isGone() || machine.upAt > now() || hall != null && !machine.hall.equals(hall)) continue;
                free += machine.type.vcpus;
                for (Task task : machine.tasks.values()) {
                    if (!task.status.equals("ended")) free -= number(task.job, "vcpus");
                }
            }
            return free;
        }
    }

    double freeCpus() {
        return freeCpus(null);
    }

    /** The machine stops with all that is on it. It is listed as running for 30 s and as failed afterwards. */
    void stop(Machine machine) {
        synchronized (lock) {
            record.log("%s stops", machine.host);
            machine.stoppedAt = now();
            machine.tasks.clear();
        }
    }

    void hang(Machine machine, double seconds) {
        record.log("%s hangs for %.1f s", machine.host, seconds);
        machine.hungUntil = now() + seconds;
    }

    // ---- the cloud ----

    private Http.Answer serveCloud(Http.Request request) {
        synchronized (lock) {
            if (request.path().equals("/flavors")) return new Http.Answer(200, Map.of("hosttypes", flavors()));
            if (request.path().equals("/rentals/release")) return release(request);
            if (!request.path().equals("/rentals")) return new Http.Answer(400, Map.of("error", "no such path"));
            return request.method().equals("GET") ? list(request.query()) : rent(request);
        }
    }

    private List<Object> flavors() {
        List<Object> all = new ArrayList<>();
        for (Type type : types) {
            Map<String, Object> flavor = new LinkedHashMap<>();
            flavor.put("label", type.label);
            flavor.put("vcpus", type.vcpus);
            flavor.put("accelerators", 0.0);
            flavor.put("memory_gb", type.memoryGb);
            flavor.put("local_gb", 60.0);
            flavor.put("pull_gb_per_s", type.pullGbPerS);
            flavor.put("rate", type.rate);
            flavor.put("market_price", type.marketPrice);
            flavor.put("boot_s", type.bootS);
            flavor.put("halls", halls);
            all.add(flavor);
        }
        return all;
    }

    private Http.Answer rent(Http.Request request) {
        String hire = (String) request.fields().get("hire");
        if (hires.containsKey(hire)) return new Http.Answer(200, Map.of("hosts", hires.get(hire)));
        int number = ((Number) request.fields().get("number")).intValue();
        Type type = null;
        for (Type t : types) if (t.label.equals(request.fields().get("hosttype"))) type = t;
        if (type == null || number < 1 || number > 50) return new Http.Answer(400, Map.of("error", "malformed"));
        int rented = Math.min(number, capacity);
        if (rented <= 0) return new Http.Answer(503, Map.of("error", "no capacity"));
        capacity -= rented;
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < rented; i++) {
            Machine machine =
                add(type, (String) request.fields().get("hall"), (Boolean) request.fields().get("reclaimable"), type.bootS * bootFactor);
            hosts.add(machine.host);
        }
        hires.put(hire, hosts);
        record.log("cloud: %s rents %s", hire, hosts);
        return new Http.Answer(200, Map.of("hosts", hosts));
    }

    private Http.Answer release(Http.Request request) {
        for (Object host : (List<?>) request.fields().get("hosts")) {
            Machine machine = machines.get((String) host);
            if (machine == null || machine.goneAt <= now()) continue;
            machine.goneAt = now();
            machine.tasks.clear();
            capacity++;
            record.log("cloud: %s released", host);
        }
        return new Http.Answer(200, Map.of());
    }

    private Http.Answer list(Map<String, String> query) {
        String after = query.getOrDefault("after", "");
        int page = Math.min(500, Integer.parseInt(query.getOrDefault("page", "500")));
        double at = now() - listLagS;
        List<Object> found = new ArrayList<>();
        boolean more = false;
        for (Machine machine : machines.values()) {
            if (machine.host.compareTo(after) <= 0 || machine.createdAt > at || machine.goneAt <= at) continue;
            if (found.size() == page) {
                more = true;
                break;
            }
            Map<String, Object> item = new LinkedHashMap<>();
            item.put("uid", machine.host);
            item.put("endpoint", machine.server == null ? "127.0.0.1:9" : machine.server.address());
            item.put("hosttype", machine.type.label);
            item.put("hall", machine.hall);
            item.put("reclaimable", machine.reclaimable);
            item.put("status", machine.stoppedAt + 30 <= now() ? "failed" : machine.upAt <= at ? "running" : "booting");
            item.put("age_s", at - machine.createdAt);
            found.add(item);
        }
        return new Http.Answer(200, Map.of("hosts", found, "has_next", more));
    }

    @Override
    public void close() throws Exception {
        closed = true;
        synchronized (lock) {
            for (Machine machine : machines.values()) machine.goneAt = Math.min(machine.goneAt, now());
        }
        cloud.close();
    }
}

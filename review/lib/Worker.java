import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** A worker as PROTOCOL describes it: reports, leases, tokens, arrays and daemons. */
final class Worker {
    private static final class Piece {
        final String id;
        final long attempt;
        final Jobs.Job job;
        String status = "fetching";
        String cause;
        boolean saved;
        double imageAt;
        double endsAt;
        double savedAt;

        Piece(String id, long attempt, Jobs.Job job) {
            this.id = id;
            this.attempt = attempt;
            this.job = job;
        }
    }

    interface Network {
        /** Carries a report to a controller; returns null if no answer arrives. */
        Http.Answer report(Worker worker, int controller, Map<String, Object> report);
    }

    final Cloud.Machine machine;
    private final Jobs jobs;
    private final List<String> controllers;
    private final Network network;
    private final double reportSeconds;
    private final double leaseSeconds;
    private final Random random;
    private final Map<String, Piece> pieces = new LinkedHashMap<>();
    private final Map<String, Double> images = new LinkedHashMap<>();
    private long shift = 1;
    private long counter = 0;
    private long warrant = 0;
    private double leaseFrom;
    private int target;
    private boolean changed;
    private volatile boolean gone;
    /** A hanging machine neither runs tasks nor reports. */
    volatile double hungUntil;
    /** A machine of which every task fails, until then. */
    volatile double sickUntil;
    int expired;

    Worker(Cloud.Machine machine, Jobs jobs, List<String> controllers, Network network, double reportSeconds,
           double leaseSeconds) {
        this.machine = machine;
        this.jobs = jobs;
        this.controllers = controllers;
        this.network = network;
        this.reportSeconds = reportSeconds;
        this.leaseSeconds = leaseSeconds;
        this.random = new Random(machine.name.hashCode());
        this.leaseFrom = Kit.now();
        this.target = random.nextInt(controllers.size());
    }

    void run() {
        Kit.note("%s is up in %s", machine.name, machine.hall);
        Kit.start(this::runPieces);
        double lastReport = -10;
        double wait = 0;
        while (!gone) {
            double due = lastReport + wait;
            while (!gone && Kit.now() < due && !(hasChanged() && Kit.now() >= lastReport + 0.5)) Kit.sleep(0.02);
            if (gone) return;
            if (isHung()) {
                Kit.sleep(0.02);
                continue;
            }
            lastReport = Kit.now();
            wait = report(lastReport);
            if (wait < 0) wait = reportSeconds * (0.75 + random.nextDouble() / 2);
        }
    }

    private synchronized boolean hasChanged() {
        return changed;
    }

    private boolean isHung() {
        return hungUntil > Kit.now();
    }

    synchronized int onMachine() {
        int count = 0;
        for (Piece piece : pieces.values()) if (!piece.status.equals("ended")) count++;
        return count;
    }

    synchronized boolean fits(Jobs.Job job) {
        double vcpus = machine.type.vcpus;
        double memory = machine.type.memory;
        for (Piece piece : pieces.values()) {
            if (piece.status.equals("ended")) continue;
            vcpus -= piece.job.vcpus();
            memory -= piece.job.memory();
        }
        return !gone && !isHung() && vcpus + 1e-6 >= job.vcpus() && memory + 1e-6 >= job.memory();
    }

    /** Sends one report. Returns the seconds until the next, or a negative number for the usual interval. */
    private double report(double sentAt) {
        Map<String, Object> body;
        long session;
        synchronized (this) {
            expire();
            session = shift;
            counter++;
            changed = false;
            body = body();
        }
        int to = target;
        Http.Answer answer = network.report(this, to, body);
        double took = Kit.now() - sentAt;
        if (gone) return 0;
        if (isHung() && answer != null && answer.status == 200) {
            while (isHung() && !gone) Kit.sleep(0.01);
            if (Kit.now() - sentAt > 4) answer = null;
        }
        if (answer == null || took > 4) return next(to, null);
        if (answer.status == 421) return next(to, answer.text("dispatcher"));
        if (answer.status != 200) return next(to, null);
        synchronized (this) {
            expire();
            if (shift != session) return -1;
            Object token = answer.fields().get("warrant");
            if (token == null || ((Number) token).longValue() < warrant) return -1;
            if (((Number) token).longValue() > warrant) {
                warrant = ((Number) token).longValue();
                changed = true;
            }
            leaseFrom = sentAt;
            Object orders = answer.fields().get("orders");
            if (orders instanceof List) for (Object order : (List<?>) orders) execute((Map<?, ?>) order);
        }
        return -1;
    }

    private double next(int from, String named) {
        for (int i = 0; named != null && i < controllers.size(); i++) {
            if (named.equals("solm-" + i) && i != from) {
                target = i;
                return random.nextDouble() / 2;
            }
        }
        target = (from + 1) % controllers.size();
        return 1;
    }

    private Map<String, Object> body() {
        List<Object> list = new ArrayList<>();
        for (Piece piece : pieces.values()) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("piece", piece.id);
            fields.put("try", piece.attempt);
            fields.put("status", piece.status);
            if (piece.cause != null) fields.put("cause", piece.cause);
            if (piece.saved) fields.put("saved", true);
            list.add(fields);
        }
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("host", machine.name);
        body.put("endpoint", "127.0.0.1:1");
        body.put("hosttype", machine.type.label);
        body.put("hall", machine.hall);
        body.put("reclaimable", machine.reclaimable);
        body.put("shift", shift);
        body.put("counter", counter);
        body.put("warrant", warrant);
        body.put("warning_s", null);
        body.put("pieces", list);
        return body;
    }

    /** Ends the session if the last answered report was sent longer than a lease ago. */
    private void expire() {
        if (Kit.now() - leaseFrom <= leaseSeconds) return;
        if (!pieces.isEmpty()) {
            Kit.note("%s: lease ran out, %d tasks are killed", machine.name, onMachine());
            expired++;
        }
        killAll();
        shift++;
        leaseFrom = Kit.now();
        changed = true;
    }

    private void killAll() {
        for (Piece piece : pieces.values()) jobs.stopped(piece.id, machine.name);
        pieces.clear();
    }

    synchronized void remove() {
        gone = true;
        killAll();
    }

    private void execute(Map<?, ?> order) {
        String id = (String) order.get("piece");
        long attempt = ((Number) order.get("try")).longValue();
        Piece piece = pieces.get(id);
        boolean isSame = piece != null && piece.attempt == attempt;
        String verb = (String) order.get("verb");
        Kit.note("%s: %s %s try %d", machine.name, verb, id, attempt);
        if (verb.equals("start")) {
            if (isSame) return;
            start(id, attempt, piece);
            changed = true;
        } else if (verb.equals("stop") && isSame && !piece.status.equals("ended")) {
            double grace = ((Number) order.get("wind_down_s")).doubleValue();
            double saving = ((Number) piece.job.spec.get("saving_s")).doubleValue();
            double savepoint = ((Number) piece.job.spec.get("savepoint_s")).doubleValue();
            if (piece.status.equals("running") && savepoint > 0 && grace >= saving) {
                piece.status = "saving";
                piece.savedAt = Kit.now() + saving;
            } else if (!piece.status.equals("saving") || grace == 0) {
                end(piece, "halted");
            }
            changed = true;
        } else if (verb.equals("clear") && isSame && piece.status.equals("ended")) {
            pieces.remove(id);
        }
    }

    private void start(String id, long attempt, Piece present) {
        Jobs.Job job = jobs.jobs.get(id.substring(0, id.indexOf('/')));
        Piece piece = new Piece(id, attempt, job);
        if (present != null && !present.status.equals("ended")) {
            Kit.note("%s: %s refused: busy", machine.name, id);
            return;
        }
        pieces.put(id, piece);
        if (job == null) {
            piece.status = "ended";
            piece.cause = "unknown";
            return;
        }
        pieces.remove(id);
        boolean fits = fits(job);
        pieces.put(id, piece);
        if (!fits) {
            piece.status = "ended";
            piece.cause = "full";
            return;
        }
        String image = (String) job.spec.get("bundle");
        piece.imageAt = images.computeIfAbsent(image, it -> Kit.now() + job.fetchSeconds);
    }

    private void end(Piece piece, String cause) {
        piece.status = "ended";
        piece.cause = cause;
        jobs.stopped(piece.id, machine.name);
        changed = true;
    }

    private void runPieces() {
        while (!gone) {
            Kit.sleep(0.02);
            synchronized (this) {
                if (gone || isHung()) continue;
                expire();
                for (Piece piece : new ArrayList<>(pieces.values())) advance(piece);
            }
        }
    }

    private void advance(Piece piece) {
        double now = Kit.now();
        if (piece.status.equals("fetching") && piece.imageAt <= now) {
            jobs.started(piece.id, machine.name);
            boolean isDone;
            synchronized (jobs) {
                isDone = piece.job.done.contains(Integer.parseInt(piece.id.substring(piece.id.indexOf('/') + 1)));
            }
            piece.status = "running";
            piece.endsAt = isDone ? now : now + piece.job.runSeconds;
            changed = true;
        }
        if (piece.status.equals("saving") && piece.savedAt <= now) {
            piece.saved = true;
            end(piece, "halted");
        }
        if (!piece.status.equals("running") || piece.job.spec.get("shape").equals("daemon")) return;
        if (sickUntil > now) {
            end(piece, "error");
        } else if ((piece.job.endAt >= 0 ? piece.job.endAt : piece.endsAt) <= now) {
            jobs.completed(piece.id);
            end(piece, "done");
        }
    }
}

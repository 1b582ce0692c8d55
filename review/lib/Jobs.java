import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The jobs, what users were told about them, what ran, and the rules that only these two decide. */
final class Jobs {
    static final class Job {
        final String id;
        final Map<String, Object> spec = new LinkedHashMap<>();
        double runSeconds;
        double fetchSeconds;
        final Set<Integer> done = new HashSet<>();
        double acceptedAt = -1;
        double doneAt = -1;
        double toldDoneAt = -1;
        double toldCancelledAt = -1;
        double cancelAskedAt = -1;
        int starts;
        double firstStartAt = -1;
        /** When the running tasks end, whatever the run time; negative: after the run time. */
        volatile double endAt = -1;

        Job(String id) {
            this.id = id;
        }

        int pieces() {
            return ((Number) spec.get("pieces")).intValue();
        }

        double vcpus() {
            return ((Number) spec.get("vcpus")).doubleValue();
        }

        double memory() {
            return ((Number) spec.get("memory_gb")).doubleValue();
        }

        @SuppressWarnings("unchecked")
        List<String> awaits() {
            return (List<String>) spec.getOrDefault("awaits", List.of());
        }
    }

    final Map<String, Job> jobs = new ConcurrentHashMap<>();
    /** Machines that each task is on, by task. A task is on a machine from when it has its image. */
    final Map<String, Set<String>> on = new HashMap<>();
    final List<String> broken = new ArrayList<>();
    private final Map<String, Double> used = new TreeMap<>();
    final Map<String, Double> limits = new HashMap<>();
    final double cancelSeconds;

    Jobs(double cancelSeconds) {
        this.cancelSeconds = cancelSeconds;
    }

    /** An array of [pieces] tasks of one team; more fields may be put into its spec. */
    Job array(String id, String team, String urgency, int pieces, double vcpus, double memory, double seconds) {
        Job job = new Job(id);
        job.spec.put("uid", id);
        job.spec.put("jobclass", "aktiveerimine");
        job.spec.put("owner", team);
        job.spec.put("shape", "array");
        job.spec.put("urgency", urgency);
        job.spec.put("pieces", pieces);
        job.spec.put("vcpus", vcpus);
        job.spec.put("accelerators", 0.0);
        job.spec.put("memory_gb", memory);
        job.spec.put("bundle", "img-01");
        job.spec.put("image_gb", 1.0);
        job.spec.put("hosttypes", null);
        job.spec.put("hall", null);
        job.spec.put("one_zone", false);
        job.spec.put("spread", false);
        job.spec.put("reclaimable", true);
        job.spec.put("expected_s", seconds);
        job.spec.put("savepoint_s", 0.0);
        job.spec.put("saving_s", 0.0);
        job.spec.put("due_s", null);
        job.runSeconds = seconds;
        jobs.put(id, job);
        return job;
    }

    synchronized void broke(String format, Object... arguments) {
        String what = String.format(format, arguments);
        broken.add(what);
        Kit.say("RULE %s", what);
    }

    synchronized void started(String task, String machine) {
        Job job = jobs.get(task.substring(0, task.indexOf('/')));
        job.starts++;
        if (job.firstStartAt < 0) job.firstStartAt = Kit.now();
        Set<String> machines = on.computeIfAbsent(task, it -> new HashSet<>());
        if (!machines.isEmpty() && !machines.contains(machine)) broke("ran_twice: %s on %s and %s", task, machines, machine);
        machines.add(machine);
        String team = (String) job.spec.get("owner");
        double now = used.merge(team, job.vcpus(), Double::sum);
        if (limits.containsKey(team) && now > limits.get(team) + 1e-6) broke("quota: %s uses %.1f", team, now);
        if (job.toldCancelledAt >= 0 && Kit.now() - job.toldCancelledAt > cancelSeconds) {
            broke("ran_cancelled: %s starts %.1f s after it was told", task, Kit.now() - job.toldCancelledAt);
        }
        for (String id : job.awaits()) {
            Job needed = jobs.get(id);
            if (needed != null && needed.done.size() < needed.pieces()) broke("too_early: %s before %s", task, id);
        }
    }

    synchronized void stopped(String task, String machine) {
        Set<String> machines = on.get(task);
        if (machines == null || !machines.remove(machine)) return;
        Job job = jobs.get(task.substring(0, task.indexOf('/')));
        used.merge((String) job.spec.get("owner"), -job.vcpus(), Double::sum);
    }

    synchronized void completed(String task) {
        Job job = jobs.get(task.substring(0, task.indexOf('/')));
        job.done.add(Integer.parseInt(task.substring(task.indexOf('/') + 1)));
        if (job.done.size() == job.pieces() && job.doneAt < 0) job.doneAt = Kit.now();
    }

    /** Notes an answer about a job to a request that was sent at [askedAt]. */
    synchronized void told(Job job, String status, double askedAt) {
        boolean isOpen = "queued".equals(status) || "running".equals(status);
        if (job.toldDoneAt >= 0 && !"done".equals(status) && !(isOpen && askedAt <= job.toldDoneAt)) {
            broke("went_back: %s was done, is %s", job.id, status);
        }
        if (job.toldCancelledAt >= 0 && !"aborted".equals(status) && !(isOpen && askedAt <= job.toldCancelledAt)) {
            broke("went_back: %s was cancelled, is %s", job.id, status);
        }
        if ("done".equals(status) && job.toldDoneAt < 0) {
            job.toldDoneAt = Kit.now();
            if (job.done.size() < job.pieces()) broke("not_done: %s with %d of %d", job.id, job.done.size(), job.pieces());
        }
        if ("aborted".equals(status) && job.toldCancelledAt < 0) job.toldCancelledAt = Kit.now();
    }

    /** Tasks of cancelled jobs that are still on a machine after the time allowed. To be called repeatedly. */
    synchronized void checkCancelled() {
        for (Map.Entry<String, Set<String>> entry : on.entrySet()) {
            if (entry.getValue().isEmpty()) continue;
            Job job = jobs.get(entry.getKey().substring(0, entry.getKey().indexOf('/')));
            if (job.toldCancelledAt >= 0 && Kit.now() - job.toldCancelledAt > cancelSeconds) {
                broke("ran_cancelled: %s is on %s", entry.getKey(), entry.getValue());
                entry.getValue().clear();
            }
        }
    }

    /** Submits the job as a user does: retried after 1 s or Retry-After, for 60 s. Returns whether it was accepted. */
    boolean submit(Job job, List<String> controllers) {
        double end = Kit.now() + 60;
        int next = Math.floorMod(job.id.hashCode(), controllers.size());
        while (Kit.now() < end) {
            double askedAt = Kit.now();
            Http.Answer answer = Http.call(controllers.get(next), "POST", "/api/jobs", job.spec, 5);
            if (answer != null && (answer.status == 200 || answer.status == 201)) {
                if (job.acceptedAt < 0) job.acceptedAt = Kit.now();
                Kit.note("user: %s submitted to controller %d: %d %s", job.id, next, answer.status, answer.text("status"));
                told(job, answer.text("status"), askedAt);
                return true;
            }
            Kit.note("user: %s submitted to controller %d: %s", job.id, next,
                answer == null ? "no answer" : answer.status + " " + answer.body);
            if (answer != null && (answer.status == 400 || answer.status == 422)) {
                if (job.acceptedAt >= 0) broke("forgotten: %s repeated is answered %d", job.id, answer.status);
                return false;
            }
            next = (next + 1) % controllers.size();
            Kit.sleep(1);
        }
        return false;
    }

    /** Asks for the status, waiting 2 s. Returns null without a usable answer. */
    String poll(Job job, String controller) {
        double askedAt = Kit.now();
        Http.Answer answer = Http.call(controller, "GET", "/api/jobs/" + job.id, null, 2);
        if (answer == null) return null;
        if (answer.status == 404) {
            if (job.acceptedAt >= 0 && job.acceptedAt < askedAt) broke("forgotten: %s gets 404", job.id);
            return null;
        }
        if (answer.status != 200) return null;
        told(job, answer.text("status"), askedAt);
        return answer.text("status");
    }

    /** Cancels the job, repeated until it is answered with aborted or done. */
    String cancel(Job job, List<String> controllers, double seconds) {
        job.cancelAskedAt = Kit.now();
        double end = Kit.now() + seconds;
        int next = 0;
        while (Kit.now() < end) {
            double askedAt = Kit.now();
            Http.Answer answer = Http.call(controllers.get(next), "POST", "/api/jobs/" + job.id + "/cancel", null, 5);
            if (answer != null && answer.status == 200) {
                Kit.note("user: %s cancelled at controller %d: %s", job.id, next, answer.text("status"));
                told(job, answer.text("status"), askedAt);
                return answer.text("status");
            }
            next = (next + 1) % controllers.size();
            Kit.sleep(1);
        }
        return null;
    }
}

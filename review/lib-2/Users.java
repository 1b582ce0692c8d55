import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Users who reach the controllers at their addresses, as through the load balancer. */
final class Users {
    private final Record record;
    private final List<String> nodes;

    Users(Record record, List<String> nodes) {
        this.record = record;
        this.nodes = nodes;
    }

    /** A job's description with usual values; the caller changes what it needs. */
    static Map<String, Object> job(String uid, String team, int pieces, double vcpus, double memoryGb, double expectedS) {
        Map<String, Object> job = new LinkedHashMap<>();
        job.put("uid", uid);
        job.put("jobclass", "raport");
        job.put("owner", team);
        job.put("shape", "array");
        job.put("urgency", "normal");
        job.put("pieces", pieces);
        job.put("vcpus", vcpus);
        job.put("accelerators", 0.0);
        job.put("memory_gb", memoryGb);
        job.put("bundle", "img-01");
        job.put("image_gb", 0.25);
        job.put("hosttypes", null);
        job.put("hall", null);
        job.put("one_zone", false);
        job.put("spread", false);
        job.put("reclaimable", true);
        job.put("expected_s", expectedS);
        job.put("savepoint_s", 0.0);
        job.put("saving_s", 0.0);
        job.put("due_s", null);
        return job;
    }

    /** Sends one request to a controller. Returns null if there is no answer in time. */
    Http.Answer ask(int node, String method, String path, Object body, int timeoutMillis) {
        try (Http.Client client = new Http.Client(nodes.get(node))) {
            Http.Answer answer = client.call(method, path, body, timeoutMillis);
            record.log("user: %s %s at node %d -> %d %s", method, path, node, answer.status(), answer.body());
            return answer;
        } catch (IOException e) {
            record.log("user: %s %s at node %d -> no answer (%s)", method, path, node, e.getMessage());
            return null;
        }
    }

    boolean isReady(int node) {
        try (Http.Client client = new Http.Client(nodes.get(node))) {
            return client.call("GET", "/ready", null, 1000).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Submits the job at one node after the other until one accepts it; returns false after the time. */
    boolean submit(Map<String, Object> job, double forS) {
        double end = record.now() + forS;
        for (int i = 0; record.now() < end; i++) {
            Http.Answer answer = ask(i % nodes.size(), "POST", "/api/jobs", job, 5000);
            if (answer != null && (answer.status() == 200 || answer.status() == 201)) return true;
            Fleet.sleep(0.3);
        }
        return false;
    }

    /** Asks one node after the other until one answers 200 or 404; returns null after the time. */
    Http.Answer poll(String uid, double forS) {
        double end = record.now() + forS;
        for (int i = 0; record.now() < end; i++) {
            Http.Answer answer = ask(i % nodes.size(), "GET", "/api/jobs/" + uid, null, 2000);
            if (answer != null && (answer.status() == 200 || answer.status() == 404)) return answer;
            Fleet.sleep(0.3);
        }
        return null;
    }

    /** Waits until a poll returns this status. */
    boolean awaitStatus(String uid, String status, double forS) {
        double end = record.now() + forS;
        while (record.now() < end) {
            Http.Answer answer = poll(uid, 2);
            if (answer != null && answer.status() == 200 && answer.fields().get("status").equals(status)) return true;
            Fleet.sleep(0.3);
        }
        return false;
    }

    boolean awaitReady(int node, double forS) {
        double end = record.now() + forS;
        while (record.now() < end) {
            if (isReady(node)) return true;
            Fleet.sleep(0.1);
        }
        return false;
    }
}

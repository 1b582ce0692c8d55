import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Controllers, state service, cloud and workers of one deployment; the settings are those of a site file. */
final class Deployment implements AutoCloseable, Cloud.Listener {
    int nodes = 3;
    String[] zones = {"sala-krosno", "sala-jaslo"};
    double rps = 120;
    double writeRps = 25;
    int valueKb = 8;
    int txnOps = 12;
    String next = "";
    double latency = 0.006;
    double reportSeconds = 1;
    double leaseSeconds = 10;
    double gangWait = 50;
    double gangPeer = 4;
    double cancelSeconds = 30;
    double cloudRps = 5;
    double listLag = 4;
    int sockets = 800;
    double bootFactor = 1;
    /** For each team: CPUs guaranteed and at most, GPUs guaranteed and at most; 0: none. */
    Map<String, double[]> teams = new LinkedHashMap<>();
    List<Cloud.Type> types = new ArrayList<>();
    Map<String, Integer> capacity = new LinkedHashMap<>();

    Jobs jobs;
    Store store;
    Cloud cloud;
    Kit.Controllers controllers;
    final Map<String, Worker> workers = new ConcurrentHashMap<>();
    Worker.Network network = (worker, controller, report) -> deliver(controller, report);

    Http.Answer deliver(int controller, Map<String, Object> report) {
        return Http.call(controllers.binds.get(controller), "POST", "/agent/beat", report, 4);
    }

    void open() throws Exception {
        jobs = new Jobs(cancelSeconds);
        for (Map.Entry<String, double[]> team : teams.entrySet()) {
            if (team.getValue()[1] > 0) jobs.limits.put(team.getKey(), team.getValue()[1]);
        }
        store = new Store(rps, writeRps, valueKb * 1024, txnOps, latency);
        cloud = new Cloud(types, capacity, cloudRps, listLag, bootFactor, this);
        controllers = new Kit.Controllers(nodes, zones, cloud.address(), store.address(), settings());
    }

    private String settings() {
        List<String> teamList = new ArrayList<>();
        for (Map.Entry<String, double[]> team : teams.entrySet()) {
            teamList.add(String.format(Locale.ROOT,
                "{\"name\":\"%s\",\"cpus\":%.1f,\"cpus_max\":%.1f,\"gpus\":%.1f,\"gpus_max\":%.1f}",
                team.getKey(), team.getValue()[0], team.getValue()[1], team.getValue()[2], team.getValue()[3]));
        }
        return String.format(Locale.ROOT,
            "{\"nodes\":%d,\"zones\":[\"%s\"],\"teams\":[%s],"
                + "\"objectives\":[{\"kind\":\"finished\",\"class\":\"aktiveerimine\",\"within_s\":100.0,\"share\":0.9}],"
                + "\"workers\":{\"report_s\":%.2f,\"lease_s\":%.2f,\"gang_wait_s\":%.1f,\"gang_peer_s\":%.1f,\"cancel_s\":%.2f},"
                + "\"state\":{\"rps\":%.1f,\"write_rps\":%.1f,\"value_kb\":%d.0,\"txn_ops\":%d%s},"
                + "\"cloud\":{\"rps\":%.1f,\"list_lag_s\":%.1f},"
                + "\"quota\":{\"cpu\":0.255,\"ram_mb\":181.0,\"sockets\":%d},\"skew_ms\":25.0}",
            nodes, String.join("\",\"", zones), String.join(",", teamList), reportSeconds, leaseSeconds, gangWait,
            gangPeer, cancelSeconds, rps, writeRps, valueKb, txnOps, next, cloudRps, listLag, sockets);
    }

    @Override
    public void up(Cloud.Machine machine) {
        Worker worker = new Worker(machine, jobs, controllers.binds, (w, c, r) -> network.report(w, c, r),
            reportSeconds, leaseSeconds);
        workers.put(machine.name, worker);
        Kit.start(worker::run);
    }

    @Override
    public void gone(Cloud.Machine machine) {
        Worker worker = workers.get(machine.name);
        if (worker != null) worker.remove();
    }

    @Override
    public void close() {
        if (controllers != null) controllers.close();
        if (store != null) {
            Kit.note("state service: %s", store.counts);
            store.close();
        }
        if (cloud != null) cloud.close();
    }
}

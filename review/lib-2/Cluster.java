import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** A small deployment: three controllers, the state service, the cloud, machines and users. */
final class Cluster implements AutoCloseable {
    static final Fleet.Type BIUROWY = new Fleet.Type("biurowy", 32, 64, 1.28, 0.58, 20, 0.25);
    static final Fleet.Type GLOWNY = new Fleet.Type("glowny", 64, 256, 3.11, 1.23, 25, 0.25);
    static final Fleet.Type SUUR = new Fleet.Type("suur", 32, 64, 1.54, 0.65, 25, 0.6);

    /** What the site file says of a deployment. */
    record Site(List<String> zones, List<Fleet.Type> types, Fleet.Times times, double cancelS, double cloudRps,
                double listLagS, double ramMb, int sockets, double skewMs, String objective) {}

    static final Site WISLOKA = new Site(List.of("sala-krosno", "sala-jaslo"), List.of(BIUROWY, GLOWNY),
        new Fleet.Times(1.0, 10.0, 50.0, 4.0), 30, 5, 4, 181, 800, 25,
        "{\"kind\":\"deadline\",\"class\":\"raport\",\"share\":0.975,\"times\":1.0}");
    static final Site TAMMSAARE = new Site(List.of("tallinn-vana", "parnu", "tallinn-uus", "tartu"), List.of(SUUR),
        new Fleet.Times(3.0, 18.0, 30.0, 6.0), 38, 4, 10, 268, 1200, 1000,
        "{\"kind\":\"finished\",\"class\":\"aktiveerimine\",\"within_s\":60.0,\"share\":0.85}");
    static final List<String> ZONES = WISLOKA.zones;

    /** The limits of the state service as the settings state them. */
    record Limits(double rps, double writeRps, double valueKb, int txnOps, String next) {
        static final Limits WISLOKA = new Limits(120, 25, 8, 12, null);
        static final Limits TAMMSAARE = new Limits(250, 100, 32, 48, null);

        Limits announcing(double nextWriteRps, double nextValueKb, int nextTxnOps) {
            return new Limits(rps, writeRps, valueKb, txnOps, "{\"value_kb\":" + nextValueKb + ",\"txn_ops\":" + nextTxnOps
                + ",\"write_rps\":" + nextWriteRps + "}");
        }
    }

    final Record record;
    final StateService state;
    final Fleet fleet;
    final Controllers controllers;
    final Users users;
    private final Path folder;
    private final Map<String, double[]> teams;
    private final Site site;

    /** A deployment like wisloka's. The value of a team is its guarantee and its limit, in CPUs. */
    Cluster(Path recordFile, Map<String, double[]> teams, Limits limits, int capacity) throws Exception {
        this(WISLOKA, recordFile, teams, limits, capacity);
    }

    /** The value of a team is its guarantee and its limit, in CPUs. */
    Cluster(Site site, Path recordFile, Map<String, double[]> teams, Limits limits, int capacity) throws Exception {
        this.site = site;
        this.teams = teams;
        record = new Record(recordFile);
        folder = Files.createTempDirectory("review");
        state = new StateService(record, 3, limits.rps, limits.writeRps, limits.valueKb, limits.txnOps);
        Map<String, Double> teamLimits = new LinkedHashMap<>();
        teams.forEach((name, cpus) -> teamLimits.put(name, cpus[1]));
        fleet = new Fleet(record, site.times, site.types, site.zones, site.listLagS, capacity, teamLimits);
        List<String> states = new ArrayList<>();
        for (int i = 0; i < 3; i++) states.add(state.address(i));
        controllers = new Controllers(record, folder, site.zones, fleet.cloudAddress(), states, settings(limits));
        fleet.setNodes(controllers.names, controllers.binds);
        users = new Users(record, controllers.binds);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    String settings(Limits limits) {
        StringBuilder text = new StringBuilder();
        teams.forEach((name, cpus) -> text.append(text.length() == 0 ? "" : ",").append("{\"name\":\"" + name + "\",\"cpus\":"
            + cpus[0] + ",\"cpus_max\":" + cpus[1] + ",\"gpus\":0.0,\"gpus_max\":0.0}"));
        Fleet.Times times = site.times;
        return "{\"nodes\":3,\"zones\":[\"" + String.join("\",\"", site.zones) + "\"],\"teams\":[" + text
            + "],\"objectives\":[" + site.objective + "],\"workers\":{\"report_s\":" + times.reportS() + ",\"lease_s\":"
            + times.leaseS() + ",\"gang_wait_s\":" + times.gangWaitS() + ",\"gang_peer_s\":" + times.gangPeerS()
            + ",\"cancel_s\":" + site.cancelS + "},\"state\":{\"rps\":" + limits.rps + ",\"write_rps\":" + limits.writeRps
            + ",\"value_kb\":" + limits.valueKb + ",\"txn_ops\":" + limits.txnOps
            + (limits.next == null ? "" : ",\"next\":" + limits.next) + "},\"cloud\":{\"rps\":" + site.cloudRps
            + ",\"list_lag_s\":" + site.listLagS + "},\"quota\":{\"cpu\":0.255,\"ram_mb\":" + site.ramMb + ",\"sockets\":"
            + site.sockets + "},\"skew_ms\":" + site.skewMs + "}";
    }

    /** The member that leads according to the state service, or -1. */
    int leader() {
        Object owner = state.read("u/owner");
        return owner == null ? -1 : controllers.names.indexOf(((Map<?, ?>) owner).get("member"));
    }

    boolean awaitLeader(double forS) {
        double end = record.now() + forS;
        while (record.now() < end) {
            int leader = leader();
            if (leader >= 0 && users.isReady(leader)) return true;
            Fleet.sleep(0.05);
        }
        return false;
    }

    /** Copies the controllers' logs to the end of the record. */
    void recordLogs() throws Exception {
        for (int i = 0; i < 3; i++) {
            if (!Files.exists(controllers.logFile(i))) continue;
            record.log("---- log of node %d", i);
            for (String line : Files.readAllLines(controllers.logFile(i))) record.log("%s", line);
        }
    }

    private void endProcesses() {
        try {
            controllers.close();
        } catch (Exception e) {
            System.err.println("a controller may still run: " + e);
        }
    }

    @Override
    public void close() throws Exception {
        controllers.close();
        fleet.close();
        state.close();
        recordLogs();
        record.close();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) Files.delete(file);
        }
    }

    /** Prints the result and ends with the exit code of a case: 0 if the rule held, 1 if it was broken, 2 if not run. */
    static void exit(Cluster cluster, int code, String text) throws Exception {
        if (cluster != null) {
            cluster.record.say("%s", text);
            cluster.close();
        } else {
            System.out.println(text);
        }
        Runtime.getRuntime().halt(code);
    }

    static boolean withTrouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }
}

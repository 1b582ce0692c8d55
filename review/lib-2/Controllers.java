import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The controllers as separate processes, started with the `run` line of deploy/service.toml in the current folder. */
final class Controllers implements AutoCloseable {
    /** Writes the `settings` part of a controller's settings file. */
    interface SettingsText {
        String json();
    }

    private final Record record;
    private final Path folder;
    private final List<String> run;
    private final String cloud;
    private final List<String> states;
    private final List<String> zones;
    private final Process[] processes;
    private final String[] settings;
    final List<String> names = new ArrayList<>();
    final List<String> binds = new ArrayList<>();
    private final List<String> peerListens = new ArrayList<>();

    Controllers(Record record, Path folder, List<String> zones, String cloud, List<String> states, String settingsJson)
        throws IOException {
        this.record = record;
        this.folder = folder;
        this.zones = zones;
        this.cloud = cloud;
        this.states = states;
        Matcher line = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/service.toml")));
        if (!line.find()) throw new IOException("deploy/service.toml has no run line");
        run = Arrays.asList(line.group(1).trim().split(" +"));
        int count = states.size();
        processes = new Process[count];
        settings = new String[count];
        Arrays.fill(settings, settingsJson);
        List<String> ports = freeAddresses(count * 2);
        for (int i = 0; i < count; i++) {
            names.add("solm-" + i);
            binds.add(ports.get(i));
            peerListens.add(ports.get(count + i));
        }
    }

    /** Ports below the range from which the system takes those of outgoing connections. */
    private static List<String> freeAddresses(int count) throws IOException {
        List<String> found = new ArrayList<>();
        int port = 10_000 + (int) (ProcessHandle.current().pid() * 37 % 18_000);
        while (found.size() < count) {
            port++;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                found.add("127.0.0.1:" + socket.getLocalPort());
            } catch (IOException e) {
                // In use; the next one is tried.
            }
        }
        return found;
    }

    /** The settings with which the controller is started from now on. */
    void setSettings(int node, String settingsJson) {
        settings[node] = settingsJson;
    }

    void start(int node) throws IOException {
        StringBuilder known = new StringBuilder();
        for (int i = 0; i < names.size(); i++) {
            if (i == node) continue;
            if (known.length() > 0) known.append(",");
            known.append("{\"member\":\"" + names.get(i) + "\",\"area\":\"" + zones.get(i % zones.size()) + "\",\"addr\":\""
                + peerListens.get(i) + "\"}");
        }
        Path file = folder.resolve("settings-" + node + ".json");
        Files.writeString(file, "{\"member\":\"" + names.get(node) + "\",\"area\":\"" + zones.get(node % zones.size())
            + "\",\"bind\":\"" + binds.get(node) + "\",\"peer_listen\":\"" + peerListens.get(node) + "\",\"known\":[" + known
            + "],\"endpoints\":{\"cloud\":\"" + cloud + "\",\"state\":\"" + states.get(node) + "\"},\"settings\":"
            + settings[node] + "}");
        List<String> command = new ArrayList<>(run);
        command.add(file.toString());
        File log = folder.resolve("controller-" + node + ".log").toFile();
        processes[node] = new ProcessBuilder(command).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log)).start();
        record.log("node %d started", node);
    }

    void startAll() throws IOException {
        for (int i = 0; i < processes.length; i++) start(i);
    }

    /** Kills the process with no signal that it could handle. */
    void kill(int node) throws Exception {
        if (processes[node] == null) return;
        processes[node].destroyForcibly().waitFor(10, TimeUnit.SECONDS);
        processes[node] = null;
        record.log("node %d killed", node);
    }

    boolean isAlive(int node) {
        return processes[node] != null && processes[node].isAlive();
    }

    void freeze(int node) throws Exception {
        signal(node, "STOP");
    }

    void thaw(int node) throws Exception {
        signal(node, "CONT");
    }

    private void signal(int node, String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, Long.toString(processes[node].pid())).inheritIO().start().waitFor();
        record.log("node %d: SIG%s", node, name);
    }

    Path logFile(int node) {
        return folder.resolve("controller-" + node + ".log");
    }

    @Override
    public void close() throws Exception {
        for (int i = 0; i < processes.length; i++) kill(i);
    }
}

import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Time, the record of a run, and the controllers' processes. */
final class Kit {
    private Kit() {}

    private static final long ORIGIN = System.nanoTime();
    private static PrintWriter record;

    /** Seconds since the start of the run. */
    static double now() {
        return (System.nanoTime() - ORIGIN) / 1e9;
    }

    static void sleep(double seconds) {
        try {
            if (seconds > 0) Thread.sleep((long) (seconds * 1000));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread daemonThread(Runnable run) {
        Thread thread = new Thread(run);
        thread.setDaemon(true);
        return thread;
    }

    static void start(Runnable run) {
        daemonThread(run).start();
    }

    static synchronized void openRecord(Path file) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(file), true);
        // No case runs for longer than 120 s, whatever it waits for.
        start(() -> {
            sleep(119 - now());
            say("could not run: no time left");
            System.exit(2);
        });
    }

    static synchronized void note(String format, Object... arguments) {
        String line = String.format(Locale.ROOT, "%8.3f ", now()) + String.format(Locale.ROOT, format, arguments);
        if (record != null) record.println(line);
    }

    static void say(String format, Object... arguments) {
        note(format, arguments);
        System.out.println(String.format(Locale.ROOT, "%8.3f ", now()) + String.format(Locale.ROOT, format, arguments));
    }

    /** Whether the disruption is left out. */
    static boolean calm() {
        return "0".equals(System.getenv("TROUBLE"));
    }

    static List<String> freeAddresses(int count) throws IOException {
        List<Integer> ports = new ArrayList<>();
        for (int port = 20_000; port < 30_000; port++) ports.add(port);
        Collections.shuffle(ports);
        List<String> free = new ArrayList<>();
        for (int port : ports) {
            if (free.size() == count) break;
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress("127.0.0.1", port));
                free.add("127.0.0.1:" + port);
            } catch (IOException e) {
                // In use.
            }
        }
        return free;
    }

    /** The controllers, started with the command of the deploy file. */
    static final class Controllers implements AutoCloseable {
        final List<String> binds;
        final List<String> peers;
        private final Process[] processes;
        private final Path directory;
        private final List<String> run;
        private final File root;
        final String[] areas;

        /** [settings] is the JSON of the deployment's settings. */
        Controllers(int count, String[] zones, String cloud, String state, String settings) throws IOException {
            root = new File(System.getProperty("repository"));
            directory = Files.createTempDirectory("umberslip-review");
            run = runLine(root.toPath().resolve("deploy/service.toml"));
            List<String> addresses = freeAddresses(2 * count);
            binds = addresses.subList(0, count);
            peers = addresses.subList(count, 2 * count);
            processes = new Process[count];
            Runtime.getRuntime().addShutdownHook(new Thread(this::close));
            areas = new String[count];
            for (int i = 0; i < count; i++) areas[i] = zones[i % zones.length];
            for (int i = 0; i < count; i++) {
                List<String> known = new ArrayList<>();
                for (int j = 0; j < count; j++) {
                    if (j == i) continue;
                    known.add(String.format("{\"member\":\"solm-%d\",\"area\":\"%s\",\"addr\":\"%s\"}",
                        j, areas[j], peerAddress(i, j)));
                }
                Files.writeString(directory.resolve("settings-" + i + ".json"), String.format(
                    "{\"member\":\"solm-%d\",\"area\":\"%s\",\"bind\":\"%s\",\"peer_listen\":\"%s\",\"known\":[%s],"
                        + "\"endpoints\":{\"cloud\":\"%s\",\"state\":\"%s\"},\"settings\":%s}",
                    i, areas[i], binds.get(i), peers.get(i), String.join(",", known), cloud, state, settings));
            }
        }

        /** The address at which controller i finds controller j; a case may put a proxy between them. */
        String peerAddress(int i, int j) {
            return peers.get(j);
        }

        private static List<String> runLine(Path deploy) throws IOException {
            for (String line : Files.readAllLines(deploy)) {
                if (line.startsWith("run = \"")) {
                    return Arrays.asList(line.substring(7, line.lastIndexOf('"')).split(" "));
                }
            }
            throw new IOException("no run line");
        }

        void startAll() throws IOException {
            for (int i = 0; i < processes.length; i++) start(i);
        }

        void start(int i) throws IOException {
            List<String> command = new ArrayList<>(run);
            command.add(directory.resolve("settings-" + i + ".json").toString());
            ProcessBuilder builder = new ProcessBuilder(command).directory(root).redirectErrorStream(true);
            String level = System.getenv("LOG_LEVEL");
            if (level != null) builder.environment().put("LOG_LEVEL", level);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log(i)));
            processes[i] = builder.start();
            note("controller %d starts: process %d", i, processes[i].pid());
        }

        File log(int i) {
            String kept = System.getenv("KEEP_LOGS");
            return (kept != null ? Path.of(kept) : directory).resolve("controller-" + i + ".log").toFile();
        }

        boolean isAlive(int i) {
            return processes[i] != null && processes[i].isAlive();
        }

        void kill(int i) throws InterruptedException {
            note("controller %d is killed", i);
            processes[i].destroyForcibly().waitFor(10, TimeUnit.SECONDS);
        }

        void signal(int i, String name) throws IOException, InterruptedException {
            note("controller %d gets SIG%s", i, name);
            new ProcessBuilder("kill", "-" + name, Long.toString(processes[i].pid())).start().waitFor();
        }

        /** Returns the number of the controller that leads according to its metrics, or -1. */
        int leader() {
            int leader = -1;
            double highest = 0;
            for (int i = 0; i < processes.length; i++) {
                double term = metric(i, "umberslip_leader_term");
                if (term > highest) {
                    highest = term;
                    leader = i;
                }
            }
            return leader;
        }

        double metric(int i, String name) {
            Http.Answer answer = Http.call(binds.get(i), "GET", "/metrics", null, 1);
            if (answer == null || answer.status != 200) return -1;
            for (String line : answer.body.toString().split("\n")) {
                if (line.startsWith(name + " ")) return Double.parseDouble(line.substring(name.length() + 1).trim());
            }
            return -1;
        }

        boolean ready(int i) {
            Http.Answer answer = Http.call(binds.get(i), "GET", "/ready", null, 1);
            return answer != null && answer.status == 200;
        }

        /** Waits until a controller leads and all are ready. */
        boolean awaitReady(double seconds) {
            double end = now() + seconds;
            while (now() < end) {
                boolean all = leader() >= 0;
                for (int i = 0; all && i < processes.length; i++) all = ready(i);
                if (all) return true;
                sleep(0.1);
            }
            return false;
        }

        @Override
        public void close() {
            for (Process process : processes) {
                if (process == null) continue;
                try {
                    new ProcessBuilder("kill", "-CONT", Long.toString(process.pid())).start().waitFor();
                    process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
                } catch (IOException | InterruptedException e) {
                    process.destroyForcibly();
                }
            }
            File[] files = directory.toFile().listFiles();
            if (files != null) for (File file : files) file.delete();
            directory.toFile().delete();
        }
    }
}

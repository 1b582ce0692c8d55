import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the seconds since the start, to record.txt of the case. */
final class Record implements AutoCloseable {
    private final long origin = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    double now() {
        return (System.nanoTime() - origin) / 1e9;
    }

    synchronized void log(String format, Object... arguments) {
        String text = arguments.length == 0 ? format : String.format(Locale.ROOT, format, arguments);
        out.printf(Locale.ROOT, "%8.3f %s%n", now(), text);
        out.flush();
    }

    /** Writes the line to standard output, too. */
    void say(String format, Object... arguments) {
        log(format, arguments);
        System.out.println(String.format(Locale.ROOT, format, arguments));
    }

    @Override
    public void close() {
        out.close();
    }
}

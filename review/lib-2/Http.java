import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 with CBOR bodies over loopback: a server with a thread for each connection, and a client. */
final class Http {
    private Http() {}

    record Request(String method, String path, Map<String, String> query, Object body) {
        @SuppressWarnings("unchecked")
        Map<String, Object> fields() {
            return (Map<String, Object>) body;
        }
    }

    record Answer(int status, Object body) {
        @SuppressWarnings("unchecked")
        Map<String, Object> fields() {
            return (Map<String, Object>) body;
        }
    }

    /** Returns the answer, or null to close the connection without one. It may wait. */
    interface Handler {
        Answer handle(Request request) throws Exception;
    }

    private record Head(String line, Map<String, String> headers) {}

    private static Head readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) return null;
        Map<String, String> headers = new HashMap<>();
        for (String h = readLine(in); h != null && !h.isEmpty(); h = readLine(in)) {
            int colon = h.indexOf(':');
            headers.put(h.substring(0, colon).toLowerCase(Locale.ROOT), h.substring(colon + 1).trim());
        }
        return new Head(line, headers);
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("in a line");
            }
            if (b != '\r') line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    private static byte[] readBody(InputStream in, Head head) throws IOException {
        int length = Integer.parseInt(head.headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) throw new EOFException("in a body");
        return body;
    }

    private static boolean keepsAlive(Head head) {
        return !"close".equalsIgnoreCase(head.headers.get("connection"));
    }

    /** Listens on a free port of 127.0.0.1. */
    static final class Server implements AutoCloseable {
        private final ServerSocket socket;
        private final Handler handler;

        Server(Handler handler) throws IOException {
            this.handler = handler;
            socket = new ServerSocket(0, 1000, InetAddress.getByName("127.0.0.1"));
            start(this::acceptAll);
        }

        String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }

        private void acceptAll() {
            try {
                while (true) {
                    Socket connection = socket.accept();
                    start(() -> serve(connection));
                }
            } catch (IOException e) {
                // The server was closed.
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                connection.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(connection.getInputStream());
                OutputStream out = connection.getOutputStream();
                for (Head head = readHead(in); head != null; head = readHead(in)) {
                    String[] parts = head.line.split(" ");
                    byte[] body = readBody(in, head);
                    int mark = parts[1].indexOf('?');
                    Map<String, String> query = new HashMap<>();
                    if (mark >= 0) {
                        for (String pair : parts[1].substring(mark + 1).split("&")) {
                            int eq = pair.indexOf('=');
                            if (eq > 0) query.put(pair.substring(0, eq), pair.substring(eq + 1));
                        }
                    }
                    String path = mark < 0 ? parts[1] : parts[1].substring(0, mark);
                    Answer answer = handler.handle(new Request(parts[0], path, query, Cbor.decode(body)));
                    if (answer == null) return;
                    byte[] bytes = Cbor.encode(answer.body);
                    String text = "HTTP/1.1 " + answer.status + " X\r\nContent-Type: application/cbor\r\nContent-Length: "
                        + bytes.length + "\r\n" + (keepsAlive(head) ? "" : "Connection: close\r\n") + "\r\n";
                    ByteArrayOutputStream all = new ByteArrayOutputStream();
                    all.writeBytes(text.getBytes(StandardCharsets.ISO_8859_1));
                    all.writeBytes(bytes);
                    out.write(all.toByteArray());
                    out.flush();
                    if (!keepsAlive(head)) return;
                }
            } catch (Exception e) {
                // The other side has gone, or the answer must not be sent.
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** One connection to a server, opened when it is needed. Not for use by several threads. */
    static final class Client implements AutoCloseable {
        private final String address;
        private Socket socket;
        private InputStream in;

        Client(String address) {
            this.address = address;
        }

        /** Throws an IOException if there is no answer within the time. The connection is closed then. */
        Answer call(String method, String path, Object body, int timeoutMillis) throws IOException {
            long deadline = System.nanoTime() + timeoutMillis * 1_000_000L;
            try {
                if (socket == null) {
                    socket = new Socket();
                    socket.setTcpNoDelay(true);
                    int colon = address.indexOf(':');
                    InetSocketAddress target =
                        new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
                    socket.connect(target, timeoutMillis);
                    in = new BufferedInputStream(socket.getInputStream());
                }
                byte[] bytes = body == null ? new byte[0] : Cbor.encode(body);
                String text = method + " " + path + " HTTP/1.1\r\nHost: " + address + "\r\nContent-Length: " + bytes.length
                    + "\r\n" + (body == null ? "" : "Content-Type: application/cbor\r\n") + "\r\n";
                ByteArrayOutputStream all = new ByteArrayOutputStream();
                all.writeBytes(text.getBytes(StandardCharsets.ISO_8859_1));
                all.writeBytes(bytes);
                socket.getOutputStream().write(all.toByteArray());
                socket.setSoTimeout((int) Math.max(1, (deadline - System.nanoTime()) / 1_000_000));
                Head head = readHead(in);
                if (head == null) throw new EOFException("closed without an answer");
                byte[] answer = readBody(in, head);
                if (!keepsAlive(head)) close();
                boolean isCbor = head.headers.getOrDefault("content-type", "").contains("cbor");
                return new Answer(Integer.parseInt(head.line.split(" ")[1]), isCbor ? Cbor.decode(answer) : null);
            } catch (IOException | RuntimeException e) {
                close();
                throw e instanceof IOException io ? io : new IOException(e);
            }
        }

        @Override
        public void close() {
            if (socket == null) return;
            try {
                socket.close();
            } catch (IOException e) {
                // Nothing is left to do.
            }
            socket = null;
        }
    }

    static Thread start(Runnable body) {
        Thread thread = new Thread(body);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}

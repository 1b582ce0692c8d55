import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/** HTTP with CBOR bodies over loopback. */
final class Http {
    private Http() {}

    static final class Answer {
        final int status;
        final Object body;

        Answer(int status, Object body) {
            this.status = status;
            this.body = body;
        }

        @SuppressWarnings("unchecked")
        Map<String, Object> fields() {
            return body instanceof Map ? (Map<String, Object>) body : Map.of();
        }

        String text(String name) {
            Object value = fields().get(name);
            return value == null ? null : value.toString();
        }
    }

    static final class Request {
        final String method;
        final String path;
        final Map<String, String> query;
        final Map<String, Object> body;

        Request(String method, String path, Map<String, String> query, Map<String, Object> body) {
            this.method = method;
            this.path = path;
            this.query = query;
            this.body = body;
        }
    }

    /** Answers a request; null drops it: the connection is closed without a response. */
    interface Handler {
        Answer handle(Request request) throws Exception;
    }

    static HttpServer serve(Handler handler) throws IOException {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.idleInterval", "3600");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "2000");
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 1000);
        server.setExecutor(Executors.newCachedThreadPool(Kit::daemonThread));
        server.createContext("/", exchange -> answer(exchange, handler));
        server.start();
        return server;
    }

    @SuppressWarnings("unchecked")
    private static void answer(HttpExchange exchange, Handler handler) throws IOException {
        Answer answer;
        try {
            URI uri = exchange.getRequestURI();
            Map<String, String> query = new LinkedHashMap<>();
            if (uri.getRawQuery() != null) {
                for (String part : uri.getRawQuery().split("&")) {
                    int equals = part.indexOf('=');
                    if (equals > 0) query.put(part.substring(0, equals), part.substring(equals + 1));
                }
            }
            Object body = Cbor.read(exchange.getRequestBody().readAllBytes());
            Map<String, Object> fields = body instanceof Map ? (Map<String, Object>) body : Map.of();
            answer = handler.handle(new Request(exchange.getRequestMethod(), uri.getPath(), query, fields));
        } catch (Exception e) {
            e.printStackTrace();
            answer = new Answer(400, Map.of("error", e.toString()));
        }
        if (answer == null) {
            exchange.close();
            return;
        }
        byte[] bytes = Cbor.write(answer.body);
        exchange.getResponseHeaders().set("Content-Type", "application/cbor");
        exchange.sendResponseHeaders(answer.status, bytes.length);
        try (OutputStream out = exchange.getResponseBody()) {
            out.write(bytes);
        }
    }

    private static final HttpClient CLIENT =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .executor(Executors.newCachedThreadPool(Kit::daemonThread))
            .build();

    /** Returns null if no response arrives within the time-out. */
    static Answer call(String address, String method, String path, Object body, double timeoutSeconds) {
        byte[] bytes = body == null ? new byte[0] : Cbor.write(body);
        HttpRequest request =
            HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofMillis((long) (timeoutSeconds * 1000)))
                .method(method, body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofByteArray(bytes))
                .build();
        try {
            HttpResponse<byte[]> response = CLIENT.send(request, HttpResponse.BodyHandlers.ofByteArray());
            Object reply = null;
            List<String> type = response.headers().allValues("content-type");
            if (type.isEmpty() || type.get(0).contains("cbor")) reply = Cbor.read(response.body());
            else reply = new String(response.body());
            return new Answer(response.statusCode(), reply);
        } catch (IOException e) {
            return null;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
    }
}

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small CBOR codec for maps keyed by text, lists, text, numbers, booleans and null. Integers are read as Long. */
final class Cbor {
    private Cbor() {}

    static byte[] encode(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        write(out, value);
        return out.toByteArray();
    }

    private static void write(ByteArrayOutputStream out, Object v) {
        if (v == null) {
            out.write(0xf6);
        } else if (v instanceof Boolean b) {
            out.write(b ? 0xf5 : 0xf4);
        } else if (v instanceof Integer || v instanceof Long) {
            long n = ((Number) v).longValue();
            if (n >= 0) head(out, 0, n); else head(out, 1, -1 - n);
        } else if (v instanceof Number n) {
            out.write(0xfb);
            long bits = Double.doubleToLongBits(n.doubleValue());
            for (int i = 7; i >= 0; i--) out.write((int) (bits >>> (8 * i)));
        } else if (v instanceof String s) {
            byte[] bytes = s.getBytes(StandardCharsets.UTF_8);
            head(out, 3, bytes.length);
            out.writeBytes(bytes);
        } else if (v instanceof List<?> list) {
            head(out, 4, list.size());
            for (Object item : list) write(out, item);
        } else if (v instanceof Map<?, ?> map) {
            head(out, 5, map.size());
            map.forEach((key, item) -> {
                write(out, key);
                write(out, item);
            });
        } else {
            throw new IllegalArgumentException("no CBOR for " + v.getClass());
        }
    }

    private static void head(ByteArrayOutputStream out, int major, long n) {
        int m = major << 5;
        if (n < 24) {
            out.write(m | (int) n);
        } else {
            int bytes = n < 0x100 ? 1 : n < 0x10000 ? 2 : n < 0x100000000L ? 4 : 8;
            out.write(m | (bytes == 1 ? 24 : bytes == 2 ? 25 : bytes == 4 ? 26 : 27));
            for (int i = bytes - 1; i >= 0; i--) out.write((int) (n >>> (8 * i)));
        }
    }

    static Object decode(byte[] bytes) throws IOException {
        return bytes.length == 0 ? null : read(new ByteArrayInputStream(bytes));
    }

    private static final Object BREAK = new Object();

    private static Object read(ByteArrayInputStream in) throws IOException {
        int first = in.read();
        if (first < 0) throw new IOException("truncated CBOR");
        int major = first >> 5;
        int info = first & 31;
        if (major == 7) {
            return switch (info) {
                case 20 -> false;
                case 21 -> true;
                case 22, 23 -> null;
                case 25 -> half((int) number(in, 2));
                case 26 -> (double) Float.intBitsToFloat((int) number(in, 4));
                case 27 -> Double.longBitsToDouble(number(in, 8));
                case 31 -> BREAK;
                default -> throw new IOException("CBOR simple value " + info);
            };
        }
        boolean indefinite = info == 31;
        long n = indefinite ? -1 : info < 24 ? info : number(in, 1 << (info - 24));
        switch (major) {
            case 0: return n;
            case 1: return -1 - n;
            case 3: {
                if (!indefinite) return new String(in.readNBytes((int) n), StandardCharsets.UTF_8);
                StringBuilder text = new StringBuilder();
                for (Object part = read(in); part != BREAK; part = read(in)) text.append(part);
                return text.toString();
            }
            case 4: {
                List<Object> list = new ArrayList<>();
                for (long i = 0; indefinite || i < n; i++) {
                    Object item = read(in);
                    if (item == BREAK) break;
                    list.add(item);
                }
                return list;
            }
            case 5: {
                Map<String, Object> map = new LinkedHashMap<>();
                for (long i = 0; indefinite || i < n; i++) {
                    Object key = read(in);
                    if (key == BREAK) break;
                    map.put((String) key, read(in));
                }
                return map;
            }
            default: throw new IOException("CBOR major type " + major);
        }
    }

    private static long number(ByteArrayInputStream in, int bytes) throws IOException {
        long n = 0;
        for (int i = 0; i < bytes; i++) {
            int b = in.read();
            if (b < 0) throw new IOException("truncated CBOR");
            n = n << 8 | b;
        }
        return n;
    }

    private static double half(int bits) {
        int exponent = bits >> 10 & 31;
        int mantissa = bits & 1023;
        double value = exponent == 0 ? mantissa * Math.pow(2, -24) : exponent == 31
            ? (mantissa == 0 ? Double.POSITIVE_INFINITY : Double.NaN)
            : (1024 + mantissa) * Math.pow(2, exponent - 25);
        return (bits & 0x8000) == 0 ? value : -value;
    }

    /** The size in JSON, in which the pages count the limits. */
    static int jsonSize(Object v) {
        if (v == null) return 4;
        if (v instanceof String s) {
            int extra = 0;
            for (int i = 0; i < s.length(); i++) if (s.charAt(i) == '"' || s.charAt(i) == '\\') extra++;
            return s.getBytes(StandardCharsets.UTF_8).length + 2 + extra;
        }
        if (v instanceof List<?> list) {
            int size = 2 + Math.max(0, list.size() - 1);
            for (Object item : list) size += jsonSize(item);
            return size;
        }
        if (v instanceof Map<?, ?> map) {
            int size = 2 + Math.max(0, map.size() - 1);
            for (Map.Entry<?, ?> e : map.entrySet()) size += jsonSize(e.getKey()) + 1 + jsonSize(e.getValue());
            return size;
        }
        return v.toString().length();
    }
}

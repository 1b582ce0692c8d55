import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The part of CBOR that the protocol uses: maps keyed by text, lists, text, numbers, booleans and null. */
final class Cbor {
    private static final Object BREAK = new Object();
    private final byte[] in;
    private int at;

    private Cbor(byte[] in) {
        this.in = in;
    }

    static Object read(byte[] bytes) {
        return bytes.length == 0 ? null : new Cbor(bytes).value();
    }

    static byte[] write(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        write(out, value);
        return out.toByteArray();
    }

    private Object value() {
        int first = in[at++] & 0xff;
        int major = first >> 5;
        int info = first & 31;
        if (first == 0xff) return BREAK;
        switch (major) {
            case 0:
                return argument(info);
            case 1:
                return -1 - argument(info);
            case 3:
                if (info == 31) {
                    StringBuilder text = new StringBuilder();
                    for (Object part = value(); part != BREAK; part = value()) text.append(part);
                    return text.toString();
                }
                int length = (int) argument(info);
                at += length;
                return new String(in, at - length, length, StandardCharsets.UTF_8);
            case 4: {
                List<Object> list = new ArrayList<>();
                long count = info == 31 ? Long.MAX_VALUE : argument(info);
                for (long i = 0; i < count; i++) {
                    Object item = value();
                    if (item == BREAK) break;
                    list.add(item);
                }
                return list;
            }
            case 5: {
                Map<String, Object> map = new LinkedHashMap<>();
                long count = info == 31 ? Long.MAX_VALUE : argument(info);
                for (long i = 0; i < count; i++) {
                    Object key = value();
                    if (key == BREAK) break;
                    map.put((String) key, value());
                }
                return map;
            }
            case 7:
                if (info == 20) return false;
                if (info == 21) return true;
                if (info == 22 || info == 23) return null;
                if (info == 26) return (double) Float.intBitsToFloat((int) bytes(4));
                if (info == 27) return Double.longBitsToDouble(bytes(8));
                throw new IllegalArgumentException("simple value " + info);
            default:
                throw new IllegalArgumentException("major type " + major);
        }
    }

    private long argument(int info) {
        if (info < 24) return info;
        return bytes(1 << (info - 24));
    }

    private long bytes(int count) {
        long number = 0;
        for (int i = 0; i < count; i++) number = number << 8 | (in[at++] & 0xff);
        return number;
    }

    private static void write(ByteArrayOutputStream out, Object value) {
        if (value == null) {
            out.write(0xf6);
        } else if (value instanceof Boolean) {
            out.write((Boolean) value ? 0xf5 : 0xf4);
        } else if (value instanceof Integer || value instanceof Long) {
            long number = ((Number) value).longValue();
            if (number >= 0) head(out, 0, number); else head(out, 1, -1 - number);
        } else if (value instanceof Double) {
            out.write(0xfb);
            long bits = Double.doubleToLongBits((Double) value);
            for (int shift = 56; shift >= 0; shift -= 8) out.write((int) (bits >> shift));
        } else if (value instanceof String) {
            byte[] text = ((String) value).getBytes(StandardCharsets.UTF_8);
            head(out, 3, text.length);
            out.write(text, 0, text.length);
        } else if (value instanceof List) {
            head(out, 4, ((List<?>) value).size());
            for (Object item : (List<?>) value) write(out, item);
        } else if (value instanceof Map) {
            head(out, 5, ((Map<?, ?>) value).size());
            for (Map.Entry<?, ?> entry : ((Map<?, ?>) value).entrySet()) {
                write(out, entry.getKey());
                write(out, entry.getValue());
            }
        } else {
            throw new IllegalArgumentException("unsupported: " + value.getClass());
        }
    }

    private static void head(ByteArrayOutputStream out, int major, long number) {
        int type = major << 5;
        if (number < 24) {
            out.write(type | (int) number);
            return;
        }
        int size = number < 0x100 ? 0 : number < 0x10000 ? 1 : number < 0x100000000L ? 2 : 3;
        out.write(type | (24 + size));
        for (int shift = ((1 << size) - 1) * 8; shift >= 0; shift -= 8) out.write((int) (number >> shift));
    }

    /** Returns the size of a value in its JSON form, to which the protocol's size limits apply. */
    static int jsonSize(Object value) {
        if (value instanceof String) return ((String) value).getBytes(StandardCharsets.UTF_8).length + 2;
        if (value instanceof List) {
            int size = 1;
            for (Object item : (List<?>) value) size += jsonSize(item) + 1;
            return Math.max(size, 2);
        }
        if (value instanceof Map) {
            int size = 1;
            for (Map.Entry<?, ?> e : ((Map<?, ?>) value).entrySet()) size += jsonSize(e.getKey()) + jsonSize(e.getValue()) + 2;
            return Math.max(size, 2);
        }
        return String.valueOf(value).length();
    }
}

package review2;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads messages of HTTP/1.1. Stateless. */
final class Http {
  private Http() {}

  /** The first line and the headers of a message. */
  record Head(String start, Map<String, String> headers) {
    String header(String name, String other) {
      return headers.getOrDefault(name, other);
    }

    int status() {
      return Integer.parseInt(start.split(" ")[1]);
    }

    boolean closes() {
      return header("Connection", "").toLowerCase(Locale.ROOT).contains("close");
    }
  }

  /** Returns the next head; null if the connection ends before it begins. */
  static Head readHead(InputStream in) throws IOException {
    String start = readLine(in);
    if (start == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String line = readLine(in); ; line = readLine(in)) {
      if (line == null) {
        throw new EOFException("the connection ended in a head");
      }
      if (line.isEmpty()) {
        return new Head(start, headers);
      }
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
    }
  }

  /** Receives the parts of a body as they come. */
  interface PartReader {
    void onPart(byte[] bytes);
  }

  static byte[] readBody(InputStream in, Head head) throws IOException {
    java.io.ByteArrayOutputStream whole = new java.io.ByteArrayOutputStream();
    readBody(in, head, part -> whole.write(part, 0, part.length));
    return whole.toByteArray();
  }

  /** Reads a body with a length or in chunks; one that ends early is an {@link EOFException}. */
  static void readBody(InputStream in, Head head, PartReader reader) throws IOException {
    if (!head.header("Transfer-Encoding", "").equalsIgnoreCase("chunked")) {
      reader.onPart(readExactly(in, Integer.parseInt(head.header("Content-Length", "0"))));
      return;
    }
    while (true) {
      String size = readLine(in);
      if (size == null) {
        throw new EOFException("the connection ended in a body");
      }
      byte[] chunk = readExactly(in, chunkSize(size));
      if (readLine(in) == null) {
        throw new EOFException("the connection ended in a body");
      }
      if (chunk.length == 0) {
        return;
      }
      reader.onPart(chunk);
    }
  }

  private static int chunkSize(String line) throws IOException {
    try {
      return Integer.parseInt(line.split(";")[0].trim(), 16);
    } catch (NumberFormatException e) {
      throw new IOException("bytes that are no answer in place of the size of a chunk: " + line);
    }
  }

  private static byte[] readExactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("the connection ended in a body");
    }
    return bytes;
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next >= 0; next = in.read()) {
      if (next == '\n') {
        return line.toString();
      }
      if (next != '\r') {
        line.append((char) next);
      }
    }
    return null;
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}

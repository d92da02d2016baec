package org.guavagw.review3;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** The first line and the headers of a message, and how its body is read. */
final class Head {
  final String startLine;
  final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

  private Head(String startLine) {
    this.startLine = startLine;
  }

  /** Reads a head; returns null at the end of the input before its first byte. */
  static Head read(InputStream in) throws IOException {
    String first = line(in, true);
    if (first == null) {
      return null;
    }
    Head head = new Head(first);
    for (String line = line(in, false); !line.isEmpty(); line = line(in, false)) {
      int colon = line.indexOf(':');
      head.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
    }
    return head;
  }

  int status() {
    return Integer.parseInt(startLine.split(" ")[1]);
  }

  String get(String name) {
    return headers.getOrDefault(name, "");
  }

  boolean chunked() {
    return get("Transfer-Encoding").equalsIgnoreCase("chunked");
  }

  /** Reads a body that has a length or chunks; fails if it ends early. */
  byte[] body(InputStream in) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    if (!chunked()) {
      copy(in, out, Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
      return out.toByteArray();
    }
    while (true) {
      int size = Integer.parseInt(line(in, false).split(";")[0].trim(), 16);
      if (size == 0) {
        while (!line(in, false).isEmpty()) {
          // trailers
        }
        return out.toByteArray();
      }
      copy(in, out, size);
      line(in, false);
    }
  }

  private static void copy(InputStream in, ByteArrayOutputStream out, int count)
      throws IOException {
    byte[] bytes = in.readNBytes(count);
    if (bytes.length < count) {
      throw new EOFException("the body ends early");
    }
    out.write(bytes);
  }

  static String line(InputStream in, boolean mayEnd) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        if (mayEnd && out.size() == 0) {
          return null;
        }
        throw new EOFException("the head ends early");
      }
      out.write(c);
    }
    return out.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
  }
}

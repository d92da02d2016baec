package org.guavagw.gateway.internal.framing;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Checks the header lines of one message and keeps the values that decide how it is read. Not
 * thread-safe.
 */
final class FieldLines {
  /** Within a head, the beginning of another one: the first was incomplete. */
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] \\d{3}");

  private static final byte[] PROTOCOL = "HTTP/1.".getBytes(ISO_8859_1);

  private static final boolean[] TOKEN = new boolean[256];

  static {
    for (char c : "!#$%&'*+-.^_`|~0123456789".toCharArray()) {
      TOKEN[c] = true;
    }
    for (char c = 'a'; c <= 'z'; c++) {
      TOKEN[c] = true;
      TOKEN[Character.toUpperCase(c)] = true;
    }
  }

  private final List<String> lengths = new ArrayList<>();
  private final List<String> codings = new ArrayList<>();
  private final List<String> hosts = new ArrayList<>();
  private final List<String> expectations = new ArrayList<>();
  private String startLine = "";

  /** Takes the start line; returns what is wrong with it. */
  Optional<String> start(byte[] line, int length) {
    startLine = new String(line, 0, length, ISO_8859_1);
    int word = startLine.indexOf(' ');
    return word >= 0 && STATUS_LINE.matcher(startLine).find(word)
        ? Optional.of("two heads in one")
        : Optional.empty();
  }

  /** Takes a header line without its end; returns what is wrong with it. */
  Optional<String> add(byte[] line, int length) {
    int colon = 0;
    while (colon < length && TOKEN[line[colon] & 0xff]) {
      colon++;
    }
    if (colon == 0 || colon == length || line[colon] != ':') {
      return Optional.of("a header line has no valid name");
    }
    for (int i = colon + 1; i < length; i++) {
      int c = line[i] & 0xff;
      if ((c < ' ' && c != '\t') || c == 0x7f) {
        return Optional.of("a header has a control character");
      }
      if (c == 'H' && joinsAnotherHead(line, i, length)) {
        return Optional.of("two heads in one");
      }
    }
    keep(line, colon, length);
    return Optional.empty();
  }

  private static boolean joinsAnotherHead(byte[] line, int from, int length) {
    if (length - from < PROTOCOL.length) {
      return false;
    }
    for (int i = 0; i < PROTOCOL.length; i++) {
      if (line[from + i] != PROTOCOL[i]) {
        return false;
      }
    }
    return STATUS_LINE.matcher(new String(line, from, length - from, ISO_8859_1)).lookingAt();
  }

  private void keep(byte[] line, int colon, int length) {
    switch (colon) {
      case 4 -> keepIfNamed("host", hosts, line, colon, length);
      case 6 -> keepIfNamed("expect", expectations, line, colon, length);
      case 14 -> keepIfNamed("content-length", lengths, line, colon, length);
      case 17 -> keepIfNamed("transfer-encoding", codings, line, colon, length);
      default -> {
        // Other headers don't decide how the message is read.
      }
    }
  }

  private static void keepIfNamed(
      String name, List<String> values, byte[] line, int colon, int length) {
    if (new String(line, 0, colon, ISO_8859_1).toLowerCase(Locale.ROOT).equals(name)) {
      values.add(new String(line, colon + 1, length - colon - 1, ISO_8859_1).trim());
    }
  }

  MessageHead toHead() {
    return new MessageHead(startLine, lengths, codings, hosts, expectations);
  }
}

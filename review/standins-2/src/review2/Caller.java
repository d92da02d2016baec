package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * A proper client with one kept connection, which sends one request after the other. Confined to
 * one thread.
 */
final class Caller implements AutoCloseable {
  static final String KEY = "n2ctnfzs989anu6wsjnb";
  static final String HOST = "ficu95.example";

  /** Time after its deadline for which an answer is awaited, to see how late it is. */
  private static final int LATE_MILLIS = 700;

  private final InetSocketAddress front;
  private final Record record;
  private Socket socket;
  private InputStream in;

  Caller(InetSocketAddress front, Record record) {
    this.front = front;
    this.record = record;
  }

  /**
   * What came of one attempt.
   *
   * @param status 0 if there was no answer
   * @param complete whether the whole answer came
   * @param millis time from sending to the end of the answer, or to the end of waiting
   */
  record Result(
      String id, int status, boolean complete, long millis, double retryAfter, int bodyBytes) {
    boolean served() {
      return status == 200 && complete;
    }
  }

  static String newId() {
    return Long.toHexString(ThreadLocalRandom.current().nextLong());
  }

  /** Sends a request and awaits its answer. */
  Result send(String path, int deadlineMillis, String headers, String body) {
    String id = newId();
    long sentNanos = System.nanoTime();
    int status = 0;
    StringBuilder text = new StringBuilder();
    int[] bytes = new int[1];
    double retryAfter = 0;
    try {
      if (socket == null) {
        connect();
        sentNanos = System.nanoTime();
      }
      socket.setSoTimeout(deadlineMillis + LATE_MILLIS);
      socket
          .getOutputStream()
          .write(Http.bytes(head(path, id, deadlineMillis, headers, body.length()) + body));
      Http.Head answer = Http.readHead(in);
      if (answer == null) {
        throw new IOException("the connection was closed without an answer");
      }
      status = answer.status();
      retryAfter = Double.parseDouble(answer.header("Retry-After", "0"));
      Http.readBody(in, answer, part -> bytes[0] += keep(part, text));
      if (answer.closes()) {
        close();
      }
      record.line("answer %s %d to %s%s", front, status, id, status == 200 ? "" : " " + text);
      return new Result(id, status, true, millisSince(sentNanos), retryAfter, bytes[0]);
    } catch (IOException e) {
      close();
      record.line("no whole answer from %s to %s, status %d: %s", front, id, status, e);
      return new Result(id, status, false, millisSince(sentNanos), retryAfter, bytes[0]);
    }
  }

  /** Keeps the beginning of a body for the record; returns the bytes of the part. */
  private static int keep(byte[] part, StringBuilder text) {
    if (text.length() < 300) {
      text.append(new String(part, 0, Math.min(part.length, 300)));
    }
    return part.length;
  }

  private static long millisSince(long nanos) {
    return (System.nanoTime() - nanos) / 1_000_000;
  }

  /** Sends a request, and once more to another machine if it is refused with a time to wait. */
  List<Result> sendWithRetry(
      InetSocketAddress other, String path, int deadlineMillis, String headers, String body) {
    List<Result> results = new ArrayList<>();
    Result first = send(path, deadlineMillis, headers, body);
    results.add(first);
    boolean promised = List.of(408, 421, 429, 503).contains(first.status());
    long left = deadlineMillis - first.millis();
    if (promised && first.retryAfter() * 1000 <= left / 3.0) {
      Threads.sleep((long) (first.retryAfter() * 1000));
      try (Caller retry = new Caller(other, record)) {
        results.add(retry.send(path, deadlineMillis, headers, body));
      }
    }
    return results;
  }

  private void connect() throws IOException {
    Socket opened = new Socket();
    opened.connect(front, 1000);
    opened.setTcpNoDelay(true);
    socket = opened;
    in = new BufferedInputStream(opened.getInputStream());
  }

  static String head(String path, String id, int deadlineMillis, String headers, int bodyBytes) {
    return "POST "
        + path
        + " HTTP/1.1\r\nHost: "
        + HOST
        + "\r\nX-Attempt-Id: "
        + id
        + "\r\nX-Deadline-Ms: "
        + deadlineMillis
        + "\r\nAuthorization: Token "
        + KEY
        + "\r\n"
        + headers
        + "Content-Length: "
        + bodyBytes
        + "\r\n\r\n";
  }

  /** Returns the headers of a request for an engine with some parts of its prompt. */
  static String engineHeaders(long promptTokens, long answerTokens, String parts, int events) {
    return "X-Model: *\r\nX-Token-Counts: "
        + promptTokens
        + ","
        + answerTokens
        + "\r\nX-Prompt-Prefix: "
        + parts
        + "\r\nTest-Events: "
        + events
        + "\r\n";
  }

  @Override
  public void close() {
    if (socket != null) {
      try {
        socket.close();
      } catch (IOException e) {
        record.line("close: %s", e);
      }
      socket = null;
    }
  }
}

package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A sound worker: answers with its signature, runs up to its slots at once, turns requests away
 * that it has no room for, stops at the deadline and when its caller leaves. Thread-safe.
 */
final class Worker implements AutoCloseable {
  /** Prompt tokens that are read in a millisecond. */
  private static final double PREFILL_TOKENS_PER_MILLI = 64.2;

  private static final int CONNECTIONS = 370;

  private final String id;
  private final String service;
  private final String zone;
  private final int slots;
  private final long memoryTokens;
  private final int eventMillis;
  private final ServerSocket socket;
  private final Record record;
  private final long born = System.currentTimeMillis();
  private final AtomicInteger running = new AtomicInteger();
  private final AtomicInteger rejected = new AtomicInteger();
  private final AtomicLong promisedTokens = new AtomicLong();
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();
  private volatile boolean inTrouble;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

  /**
   * Starts a worker.
   *
   * @param memoryTokens memory of its engine; 0 if it has none
   * @param eventMillis time between the events of a stream
   */
  Worker(
      String id,
      String service,
      String zone,
      String host,
      int slots,
      long memoryTokens,
      int eventMillis,
      Record record)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.memoryTokens = memoryTokens;
    this.eventMillis = eventMillis;
    this.record = record;
    this.socket = new ServerSocket(0, 256, InetAddress.getByName(host));
    Threads.start(this::accept);
  }

  /** Writes its entry into the store. */
  void register(Store store) {
    store.put(
        "servers",
        id,
        ("{\"service\":\"%s\",\"addr\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,"
                + "\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":%d}")
            .formatted(
                service,
                socket.getInetAddress().getHostAddress(),
                socket.getLocalPort(),
                zone,
                slots,
                born));
  }

  /** Sets whether its streams are bytes without end that are no events of an answer. */
  void setInTrouble(boolean newInTrouble) {
    inTrouble = newInTrouble;
  }

  /** Returns how often a request has run here. */
  int runsOf(String requestId) {
    return runs.getOrDefault(requestId, 0);
  }

  int runCount() {
    return runs.size();
  }

  int rejectedCount() {
    return rejected.get();
  }

  int runningNow() {
    return running.get();
  }

  private void accept() {
    while (!socket.isClosed()) {
      try {
        Socket connection = socket.accept();
        if (connections.size() >= CONNECTIONS) {
          connection.setSoLinger(true, 0);
          connection.close();
          continue;
        }
        connections.add(connection);
        Threads.start(() -> serve(connection));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      connection.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(connection.getInputStream());
      OutputStream out = connection.getOutputStream();
      for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
        Http.readBody(in, head);
        answer(head, connection, out);
      }
    } catch (IOException e) {
      // The caller has left, or this worker has ended.
    } finally {
      connections.remove(connection);
    }
  }

  private void answer(Http.Head head, Socket connection, OutputStream out) throws IOException {
    String requestId = head.header("X-Attempt-Id", "");
    if (!head.header("X-Expect-Worker", id).equals(id)) {
      send(out, 421, requestId, "X-Worker-Id: " + id + "\r\n", "");
      return;
    }
    String[] counts = head.header("X-Token-Counts", "0,0").split(",");
    long promptTokens = Long.parseLong(counts[0].trim());
    long answerTokens = Long.parseLong(counts[1].trim());
    long tokens = memoryTokens == 0 ? 0 : promptTokens + answerTokens;
    boolean room = running.get() < slots && promisedTokens.get() + tokens <= memoryTokens;
    if (!room) {
      rejected.incrementAndGet();
      send(out, 503, requestId, "X-Not-Executed: 1\r\n", "");
      return;
    }
    running.incrementAndGet();
    promisedTokens.addAndGet(tokens);
    runs.merge(requestId, 1, Integer::sum);
    record.line("run %s at %s", requestId, id);
    try {
      run(head, requestId, promptTokens, connection, out);
    } finally {
      running.decrementAndGet();
      promisedTokens.addAndGet(-tokens);
    }
  }

  private void run(
      Http.Head head, String requestId, long promptTokens, Socket connection, OutputStream out)
      throws IOException {
    long deadline =
        System.nanoTime() + Long.parseLong(head.header("X-Deadline-Ms", "25000")) * 1_000_000;
    Threads.sleep(15 + (long) (promptTokens / PREFILL_TOKENS_PER_MILLI));
    if (memoryTokens == 0) {
      send(out, 200, requestId, signature(), "answer to " + requestId);
      return;
    }
    int events = Integer.parseInt(head.header("Test-Events", "20"));
    int first = Integer.parseInt(head.header("Last-Event-Id", "0")) + 1;
    out.write(
        Http.bytes(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: "
                + requestId
                + "\r\n"
                + signature()
                + "X-Confidence: 90\r\nContent-Type: text/event-stream\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n"));
    if (inTrouble) {
      sendWithoutEnd(out);
    }
    for (int event = first; event <= events; event++) {
      if (System.nanoTime() - deadline > 0) {
        connection.close();
        return;
      }
      String text = "id: " + event + "\ndata: event " + event + " of " + requestId + "\n\n";
      out.write(Http.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
      Threads.sleep(event < events ? eventMillis : 0);
    }
    out.write(Http.bytes("0\r\n\r\n"));
  }

  private void sendWithoutEnd(OutputStream out) throws IOException {
    String text = "x\n\n".repeat(2700);
    byte[] part = Http.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    while (inTrouble) {
      out.write(part);
    }
    throw new IOException("the worker is back in order and closes the connection");
  }

  private String signature() {
    return "X-Worker-Signature: " + id + "\r\n";
  }

  private static void send(
      OutputStream out, int status, String requestId, String headers, String body)
      throws IOException {
    out.write(
        Http.bytes(
            "HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s"
                .formatted(status, requestId, headers, body.length(), body)));
  }

  @Override
  public void close() {
    try {
      socket.close();
      for (Socket connection : connections) {
        connection.close();
      }
    } catch (IOException e) {
      record.line("worker %s: %s", id, e);
    }
  }
}

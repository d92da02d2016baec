package review2;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that nobody controls send heads inside the limit that list very many short parts of a
 * prompt, stop just short of the end of their bodies and stay. No process may end or hang, and
 * ordinary callers are still served.
 */
final class PromptLists {
  private static final int CROWD = 400;
  private static final double CALM_SECONDS = 6;
  private static final double CROWD_SECONDS = 40;
  private static final double AFTER_SECONDS = 12;

  private final Deployment deployment;
  private final Record record;
  private final AtomicInteger opened = new AtomicInteger();
  private volatile boolean crowdEnded;

  private PromptLists(Deployment deployment) {
    this.deployment = deployment;
    this.record = deployment.record;
  }

  public static void main(String[] args) {
    Play.main(
        args,
        Deployment.ZONES,
        100,
        List.of("kingston", "spanish-town"),
        (deployment, trouble) -> new PromptLists(deployment).play(trouble));
  }

  private boolean play(boolean trouble) throws IOException {
    Entry entry = deployment.entries.get(0);
    Traffic traffic = new Traffic(entry, deployment.entries.get(1), record);
    traffic.startStreams(6, 30, 400);
    traffic.startLedger(4, 200);
    Threads.sleep((long) (CALM_SECONDS * 1000));
    double begin = record.seconds();
    String head = head();
    record.result("heads of the crowd have %d bytes", head.length());
    for (int i = 0; trouble && i < CROWD; i++) {
      Threads.start(() -> misbehave(entry, head));
    }
    Threads.sleep((long) (CROWD_SECONDS * 1000));
    crowdEnded = true;
    double end = record.seconds();
    Threads.sleep((long) (AFTER_SECONDS * 1000));
    boolean ready = entry.isReady();
    traffic.stop();
    double now = record.seconds();
    record.result("connections of the crowd: %d", opened.get());
    record.result("%s", traffic.summary("ledger", begin, end));
    record.result("%s", traffic.summary("stream", begin, end));
    record.result("%s", traffic.summary("ledger", end + 2, now));
    record.result("%s", traffic.summary("stream", end + 2, now - 4));
    record.result(
        "%s ended by itself %d times, %d MB at most, ready at the end: %b, log lines with"
            + " OutOfMemoryError: %d",
        entry.name(),
        entry.ownEnds(),
        entry.peakMemoryMegabytes(),
        ready,
        entry.logLines("OutOfMemoryError").size());
    Traffic.Unanswered unanswered = traffic.unanswered(begin, now - 3);
    record.result("%s", unanswered);
    record.result(
        "requests that a worker ran while their connection ended unanswered: %d",
        traffic.lost(deployment.engines) + traffic.lost(deployment.ledgers));
    return unanswered.breaksRule();
  }

  /** Returns the head of a request that is inside the limit and lists as many parts as fit. */
  private static String head() {
    StringBuilder parts = new StringBuilder();
    int count = 0;
    while (parts.length() < Deployment.MAX_HEADER_BYTES - 700) {
      parts.append(count == 0 ? "" : ",").append(Integer.toHexString(count % 256)).append(":1");
      count++;
    }
    return Caller.engineHeaders(count, 8, parts.toString(), 1);
  }

  private void misbehave(Entry entry, String headers) {
    while (!crowdEnded) {
      try (Socket socket = new Socket()) {
        socket.connect(entry.front(), 2000);
        opened.incrementAndGet();
        String head = Caller.head(Deployment.STREAM_PATH, Caller.newId(), 25_000, headers, 2);
        socket.getOutputStream().write(Http.bytes(head + "{"));
        socket.setSoTimeout(500);
        awaitClose(socket);
      } catch (IOException e) {
        // Refused or reset; comes again.
      }
      Threads.sleep(500);
    }
  }

  private void awaitClose(Socket socket) throws IOException {
    while (!crowdEnded) {
      try {
        if (socket.getInputStream().read() < 0) {
          return;
        }
      } catch (java.net.SocketTimeoutException e) {
        // Still open.
      }
    }
  }
}

package review2;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Some clients of a tenant send requests inside all limits, one after the other, whose prompts have
 * two parts, the first with a very long id. No process may end or hang, and ordinary callers are
 * still served.
 */
final class LongParts {
  private static final double CALM_SECONDS = 6;
  private static final double TROUBLE_SECONDS = 70;
  private static final double AFTER_SECONDS = 10;
  private static final int CLIENTS = 8;

  /** As many in the zone of the client as on the sheet of ilt-swap. */
  private static final List<String> ENGINE_ZONES =
      List.of("kingston", "kingston", "kingston", "kingston");

  private static final int PAUSE_MILLIS = 20;

  private final Deployment deployment;
  private final Record record;
  private volatile boolean ended;

  private LongParts(Deployment deployment) {
    this.deployment = deployment;
    this.record = deployment.record;
  }

  public static void main(String[] args) {
    Play.main(
        args,
        ENGINE_ZONES,
        100,
        List.of("kingston", "spanish-town"),
        (deployment, trouble) -> new LongParts(deployment).play(trouble));
  }

  private boolean play(boolean trouble) throws IOException {
    Entry entry = deployment.entries.get(0);
    Traffic traffic = new Traffic(entry, deployment.entries.get(1), record);
    traffic.startStreams(6, 30, 400);
    traffic.startLedger(4, 200);
    Threads.sleep((long) (CALM_SECONDS * 1000));
    double begin = record.seconds();
    for (int i = 0; i < CLIENTS; i++) {
      Threads.start(() -> send(entry, trouble));
    }
    Threads.sleep((long) (TROUBLE_SECONDS * 1000));
    ended = true;
    double end = record.seconds();
    Threads.sleep((long) (AFTER_SECONDS * 1000));
    boolean ready = entry.isReady();
    traffic.stop();
    double now = record.seconds();
    record.result("%s", traffic.summary("ledger", begin, end));
    record.result("%s", traffic.summary("stream", begin, end));
    record.result("%s", traffic.summary("ledger", end + 2, now));
    record.result("requests run at the engines: %d", deployment.engines.stream().mapToInt(Worker::runCount).sum());
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

  private void send(Entry entry, boolean longPart) {
    try (Caller caller = new Caller(entry.front(), record)) {
      while (!ended) {
        caller.send(Deployment.STREAM_PATH, 25_000, prompt(longPart), "{}");
        Threads.sleep(PAUSE_MILLIS);
      }
    }
  }

  /** Returns the headers of a prompt whose first part has a long id or a short one. */
  private static String prompt(boolean longPart) {
    StringBuilder id = new StringBuilder();
    while (longPart && id.length() < Deployment.MAX_HEADER_BYTES - 800) {
      id.append(Caller.newId());
    }
    return Caller.engineHeaders(200, 1, "a" + id + ":119," + Caller.newId() + ":81", 1);
  }
}

package review2;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * One client of a tenant sends requests inside all limits, one after the other, whose prompts
 * consist of very many short parts. No process may end or hang, and ordinary callers are still
 * served.
 */
final class ManyParts {
  private static final double CALM_SECONDS = 6;
  private static final double TROUBLE_SECONDS = 70;
  private static final double AFTER_SECONDS = 10;
  private static final int CLIENTS = 4;

  /** As many in the zone of the client as on the sheet of ilt-swap. */
  private static final List<String> ENGINE_ZONES =
      List.of("kingston", "kingston", "kingston", "kingston");

  private static final int PAUSE_MILLIS = 40;

  private final Deployment deployment;
  private final Record record;
  private volatile boolean ended;

  private ManyParts(Deployment deployment) {
    this.deployment = deployment;
    this.record = deployment.record;
  }

  public static void main(String[] args) {
    Play.main(
        args,
        ENGINE_ZONES,
        100,
        List.of("kingston", "spanish-town"),
        (deployment, trouble) -> new ManyParts(deployment).play(trouble));
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

  private void send(Entry entry, boolean manyParts) {
    try (Caller caller = new Caller(entry.front(), record)) {
      while (!ended) {
        caller.send(Deployment.STREAM_PATH, 25_000, prompt(manyParts), "{}");
        Threads.sleep(PAUSE_MILLIS);
      }
    }
  }

  /** Returns the headers of a prompt of as many tokens in many parts or in a few. */
  private static String prompt(boolean manyParts) {
    int count = (Deployment.MAX_HEADER_BYTES - 700) / 9;
    if (!manyParts) {
      String parts = "5c1e07a1:119,%s:%d".formatted(Caller.newId(), count - 119);
      return Caller.engineHeaders(count, 1, parts, 1);
    }
    StringBuilder parts = new StringBuilder();
    for (int i = 0; i < count; i++) {
      int id = ThreadLocalRandom.current().nextInt(1 << 24);
      parts.append(i == 0 ? "" : ",").append("%06x:1".formatted(id));
    }
    return Caller.engineHeaders(count, 1, parts.toString(), 1);
  }
}

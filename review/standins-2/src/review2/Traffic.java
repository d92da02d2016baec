package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** Ordinary clients of one machine, and what they got. Thread-safe. */
final class Traffic {
  /** Timeout of the route and deadline of its clients. */
  static final int LEDGER_TIMEOUT_MILLIS = 1500;

  private final Entry entry;
  private final Record record;
  private final List<Outcome> outcomes = new ArrayList<>();
  private final Entry retryEntry;
  private volatile boolean stopped;

  /**
   * Creates clients of a machine.
   *
   * @param retryEntry the machine that their retries reach
   */
  Traffic(Entry entry, Entry retryEntry, Record record) {
    this.entry = entry;
    this.retryEntry = retryEntry;
    this.record = record;
  }

  /**
   * One request with its retry.
   *
   * @param kind stream or ledger
   * @param at seconds from the start at which it was sent
   */
  record Outcome(String kind, double at, List<Caller.Result> attempts) {
    boolean served() {
      return attempts.get(attempts.size() - 1).served();
    }
  }

  /** Starts clients that send streams with a few shared parts, and wait between them. */
  void startStreams(int clients, int events, int pauseMillis) {
    for (int i = 0; i < clients; i++) {
      Threads.start(
          () -> {
            try (Caller caller = new Caller(entry.front(), record)) {
              while (!stopped) {
                double at = record.seconds();
                add(
                    "stream",
                    at,
                    caller.sendWithRetry(
                        retryEntry.front(),
                        Deployment.STREAM_PATH,
                        25_000,
                        prompt(events),
                        "{}"));
                pause(pauseMillis);
              }
            }
          });
    }
  }

  private static String prompt(int events) {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    String parts =
        "5c1e07a%d:119,91bd3f%02d:80,%s:429"
            .formatted(random.nextInt(3), random.nextInt(20), Caller.newId());
    return Caller.engineHeaders(628, 80, parts, events);
  }

  /** Starts clients that send corrections to the ledger, which may run once. */
  void startLedger(int clients, int pauseMillis) {
    for (int i = 0; i < clients; i++) {
      Threads.start(
          () -> {
            try (Caller caller = new Caller(entry.front(), record)) {
              while (!stopped) {
                double at = record.seconds();
                add(
                    "ledger",
                    at,
                    caller.sendWithRetry(
                        retryEntry.front(),
                        Deployment.LEDGER_PATH,
                        LEDGER_TIMEOUT_MILLIS,
                        "",
                        "{}"));
                pause(pauseMillis);
              }
            }
          });
    }
  }

  private static void pause(int millis) {
    Threads.sleep(millis / 2 + ThreadLocalRandom.current().nextInt(millis + 1));
  }

  private void add(String kind, double at, List<Caller.Result> attempts) {
    synchronized (outcomes) {
      outcomes.add(new Outcome(kind, at, attempts));
    }
  }

  void stop() {
    stopped = true;
  }

  /** Returns what became of the requests of a kind that were sent in a time. */
  List<Outcome> between(String kind, double from, double to) {
    synchronized (outcomes) {
      return outcomes.stream()
          .filter(o -> o.kind().equals(kind) && o.at() >= from && o.at() < to)
          .toList();
    }
  }

  /**
   * The requests that had no answer at their route's timeout.
   *
   * @param later those that had none half a second later either
   */
  record Unanswered(int atTimeout, int later) {
    private static final int MIN_REQUESTS = 20;

    /** Returns whether more than half had no answer half a second later, and these were many. */
    boolean breaksRule() {
      return later >= MIN_REQUESTS && 2 * later > atTimeout;
    }

    @Override
    public String toString() {
      return atTimeout
          + " requests had no answer at their route's timeout, "
          + later
          + " of these none half a second later";
    }
  }

  /** Counts the requests for the ledger that were sent in a time and had no answer in time. */
  Unanswered unanswered(double from, double to) {
    List<Caller.Result> late = new ArrayList<>();
    between("ledger", from, to).forEach(o -> late.addAll(o.attempts()));
    late.removeIf(r -> r.millis() < LEDGER_TIMEOUT_MILLIS);
    long later = late.stream().filter(r -> r.millis() > LEDGER_TIMEOUT_MILLIS + 500).count();
    return new Unanswered(late.size(), (int) later);
  }

  /** Counts the requests that ran at a worker while their connection ended without an answer. */
  long lost(List<Worker> workers) {
    synchronized (outcomes) {
      return outcomes.stream()
          .flatMap(o -> o.attempts().stream())
          .filter(r -> r.status() == 0 && r.millis() < LEDGER_TIMEOUT_MILLIS)
          .filter(r -> workers.stream().anyMatch(w -> w.runsOf(r.id()) > 0))
          .count();
    }
  }

  /** Returns a line on the requests of a kind that were sent in a time. */
  String summary(String kind, double from, double to) {
    List<Outcome> sent = between(kind, from, to);
    long served = sent.stream().filter(Outcome::served).count();
    return "%s at %s from %.1f s to %.1f s: %d sent, %d served"
        .formatted(kind, entry.name(), from, to, sent.size(), served);
  }

  /** Returns the part of some requests that were served; 1 if there are none. */
  static double servedShare(List<Outcome> sent) {
    return sent.isEmpty()
        ? 1
        : (double) sent.stream().filter(Outcome::served).count() / sent.size();
  }
}

package org.guavagw.gateway.internal.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.guavagw.Refusal;
import org.guavagw.gateway.internal.peers.ServiceDemand;

/**
 * Entries with real schedulers in front of servers with slots, in virtual time.
 *
 * <p>An entry knows its own requests at once and those of others as of the last reports.
 */
final class SimulatedEntries {
  static final Duration OBJECTIVE = Duration.ofSeconds(1);
  static final Duration DEADLINE = Duration.ofSeconds(4);
  private static final int SERVERS = 8;
  private static final int SLOTS = 12;
  private static final Duration MEAN_RUN = Duration.ofMillis(100);
  private static final Duration REPORT_PERIOD = Duration.ofMillis(100);

  final List<Call> calls = new ArrayList<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final List<Entry> entries = new ArrayList<>();
  private final Server[] servers = new Server[SERVERS];
  private final Random random;
  private final boolean lateReports;
  private long now = Duration.ofSeconds(1).toNanos();
  private long sequence;

  SimulatedEntries(int count, boolean lateReports, long seed) {
    this.random = new Random(seed);
    this.lateReports = lateReports;
    for (int i = 0; i < SERVERS; i++) {
      servers[i] = new Server();
    }
    for (int i = 0; i < count; i++) {
      Entry entry = new Entry();
      entries.add(entry);
      after(REPORT_PERIOD.toNanos() * i / count, entry::tick);
    }
  }

  /** Returns the requests that the servers can complete in a second. */
  static double capacity() {
    return SERVERS * SLOTS * 1e9 / MEAN_RUN.toNanos();
  }

  long now() {
    return now;
  }

  List<Entry> entries() {
    return entries;
  }

  /** Lets callers of a kind send at a rate until a time. */
  void send(Kind kind, double perSecond, long untilNanos) {
    long gap = (long) (-Math.log(1 - random.nextDouble()) * 1e9 / perSecond);
    after(
        gap,
        () -> {
          if (now < untilNanos) {
            Call call = new Call(kind, entries.get(random.nextInt(entries.size())));
            calls.add(call);
            call.entry.scheduler.submit(call, now);
            send(kind, perSecond, untilNanos);
          }
        });
  }

  void runUntil(long nanos) {
    while (!events.isEmpty() && events.peek().nanos <= nanos) {
      Event event = events.poll();
      now = event.nanos;
      event.action.run();
    }
    now = nanos;
  }

  private void after(long nanos, Runnable action) {
    events.add(new Event(now + nanos, sequence++, action));
  }

  /** What callers of one kind send. */
  record Kind(String route, String team, int rank) {}

  /** Something that happens at a time. */
  private record Event(long nanos, long sequence, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return nanos == other.nanos
          ? Long.compare(sequence, other.sequence)
          : Long.compare(nanos, other.nanos);
    }
  }

  /** A server that runs as many requests as it has slots; others wait there. */
  private final class Server {
    private final List<Call> queued = new ArrayList<>();
    private int running;

    void accept(Call call) {
      if (running < SLOTS) {
        run(call);
      } else {
        queued.add(call);
      }
    }

    private void run(Call call) {
      running++;
      long nanos = (long) (MEAN_RUN.toNanos() * (0.5 + random.nextDouble()));
      after(nanos, () -> onRun(call));
    }

    private void onRun(Call call) {
      running--;
      if (!queued.isEmpty()) {
        run(queued.remove(0));
      }
      call.onAnswered();
    }
  }

  /** An entry with its scheduler and what it knows of the servers. */
  final class Entry {
    final QueueingScheduler scheduler =
        new QueueingScheduler(
            QueueSettings.DEFAULT,
            new CombinedListener(),
            nanos -> after(Math.max(0, nanos - now), this::poll),
            random::nextDouble);
    private final int[] own = new int[SERVERS];
    private final int[] others = new int[SERVERS];
    private Map<String, ServiceDemand> reported = Map.of();

    void tick() {
      for (int i = 0; i < SERVERS; i++) {
        others[i] = countOthers(i);
      }
      reported = scheduler.demand(now);
      scheduler.onPeerDemand(peerDemand(), now);
      poll();
      after(REPORT_PERIOD.toNanos(), this::tick);
    }

    private Map<String, ServiceDemand> peerDemand() {
      Map<String, ServiceDemand> sum = new HashMap<>();
      entries.stream()
          .filter(e -> !e.equals(this))
          .forEach(e -> e.reported.forEach((s, d) -> sum.merge(s, d, ServiceDemand::plus)));
      return sum;
    }

    void poll() {
      scheduler.poll(now);
    }

    private int countOthers(int server) {
      return entries.stream().filter(e -> e != this).mapToInt(e -> e.own[server]).sum();
    }

    int running() {
      int sum = 0;
      for (int running : own) {
        sum += running;
      }
      return sum;
    }

    /** Returns the server with most free slots as far as this entry knows; -1 if none is free. */
    private int place() {
      int best = -1;
      int least = SLOTS;
      for (int i = 0; i < SERVERS; i++) {
        int load = own[i] + (lateReports ? others[i] : countOthers(i));
        if (load < least) {
          least = load;
          best = i;
        }
      }
      return best;
    }
  }

  /** One request of a caller. */
  final class Call implements WaitingRequest {
    final Kind kind;
    final Entry entry;
    final long sentNanos = now;
    long refusedNanos;
    long answeredNanos;
    private int server = -1;

    Call(Kind kind, Entry entry) {
      this.kind = kind;
      this.entry = entry;
    }

    boolean answeredWithin(Duration time) {
      return answeredNanos != 0 && answeredNanos - sentNanos <= time.toNanos();
    }

    long heldNanos() {
      return refusedNanos - sentNanos;
    }

    @Override
    public String id() {
      return "";
    }

    @Override
    public RequestTraits traits() {
      return new RequestTraits(
          "service",
          kind.team,
          kind.route,
          kind.rank,
          1,
          1000,
          sentNanos,
          sentNanos + OBJECTIVE.toNanos(),
          sentNanos + DEADLINE.toNanos());
    }

    @Override
    public boolean tryStart(long nowNanos) {
      server = entry.place();
      if (server < 0) {
        return false;
      }
      entry.own[server]++;
      servers[server].accept(this);
      return true;
    }

    @Override
    public void refuse(Refusal refusal) {
      refusedNanos = now;
      entry.scheduler.onEnded(this, now);
    }

    private void onAnswered() {
      answeredNanos = now;
      entry.own[server]--;
      entry.scheduler.onAnswering(this, now);
      entry.scheduler.onEnded(this, now);
    }
  }
}

package org.guavagw.standins.engine;

import com.google.common.base.Ticker;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.UUID;
import org.guavagw.config.VersionRef;
import org.guavagw.standins.fault.LaggedValue;

/**
 * The slots and the waiting queue of an engine, its loaded versions and whether it is cold. At most
 * as many jobs run as there are slots, and as there are cold slots while cold. Thread-safe; jobs
 * are started outside the lock.
 */
final class ContinuousBatch {
  private final EngineSettings settings;
  private final Ticker ticker;
  private final LaggedValue<LoadReport> history;
  private final Set<VersionRef> versions;
  private final Set<String> adapters = new LinkedHashSet<>();
  private final PriorityQueue<Waiting> waiting =
      new PriorityQueue<>(
          Comparator.<Waiting>comparingInt(w -> w.job().priority())
              .thenComparingLong(Waiting::arrival));
  private String role = "both";
  private boolean draining;
  private String bootId;
  private long bootedAt;
  private int finishedSinceBoot;
  private int running;
  private long arrivals;
  private long restarts;
  private long coldOverloads;
  private long disconnects;

  ContinuousBatch(EngineSettings settings, Ticker ticker) {
    this.settings = settings;
    this.ticker = ticker;
    this.versions = new LinkedHashSet<>(settings.versions());
    boot();
    this.history = new LaggedValue<>(ticker, settings.loadLag(), current());
  }

  Optional<EngineRefusal> admit(Job job) {
    Start start;
    synchronized (this) {
      Optional<EngineRefusal> refusal = refusalOf(job);
      if (refusal.isPresent()) {
        return refusal;
      }
      if (running >= settings.batch().slots()) {
        waiting.add(new Waiting(job, arrivals++));
        changed();
        return Optional.empty();
      }
      start = occupy();
    }
    job.started(start);
    return Optional.empty();
  }

  /** Takes a job out of the queue; false when it does not wait there. */
  synchronized boolean withdraw(Job job) {
    boolean removed = waiting.removeIf(w -> w.job() == job);
    changed();
    return removed;
  }

  /** Frees the slot of a job; without effect when the engine was restarted since its start. */
  void release(Start start, boolean finished) {
    List<Ready> ready = new ArrayList<>();
    synchronized (this) {
      if (start.restarts() != restarts) {
        return;
      }
      running--;
      finishedSinceBoot += finished ? 1 : 0;
      while (running < limit() && !waiting.isEmpty()) {
        ready.add(new Ready(waiting.poll().job(), occupy()));
      }
      changed();
    }
    ready.forEach(r -> r.job().started(r.start()));
  }

  synchronized void turnCold() {
    boot();
    changed();
  }

  /** Turns cold with nothing running or waiting. */
  synchronized void restart() {
    restarts++;
    running = 0;
    waiting.clear();
    turnCold();
  }

  synchronized void load(VersionRef version) {
    versions.add(version);
    changed();
  }

  synchronized void unload(VersionRef version) {
    versions.remove(version);
    changed();
  }

  synchronized void loadAdapter(String adapter) {
    adapters.add(adapter);
    changed();
  }

  synchronized void role(String newRole) {
    role = newRole;
    changed();
  }

  synchronized void drain(boolean on) {
    draining = on;
    changed();
  }

  synchronized int running() {
    return running;
  }

  synchronized long coldOverloads() {
    return coldOverloads;
  }

  synchronized void countDisconnect() {
    disconnects++;
  }

  synchronized long disconnects() {
    return disconnects;
  }

  synchronized LoadReport current() {
    return new LoadReport(
        bootId,
        cold() ? "cold" : "warm",
        running,
        waiting.size(),
        settings.batch().slots(),
        versions.stream().map(VersionRef::toString).toList(),
        List.copyOf(adapters),
        role);
  }

  synchronized LoadReport shown() {
    changed();
    return history.get();
  }

  private Optional<EngineRefusal> refusalOf(Job job) {
    if (draining) {
      return Optional.of(EngineRefusal.DRAINING);
    }
    if (!versions.contains(job.version())) {
      return Optional.of(EngineRefusal.VERSION_NOT_LOADED);
    }
    if (cold() && running >= limit()) {
      coldOverloads++;
      return Optional.of(EngineRefusal.COLD_SLOTS_TAKEN);
    }
    if (running >= settings.batch().slots() && waiting.size() >= settings.batch().queueLimit()) {
      return Optional.of(EngineRefusal.QUEUE_FULL);
    }
    return Optional.empty();
  }

  private Start occupy() {
    running++;
    changed();
    return new Start(restarts, cold(), running);
  }

  private int limit() {
    int slots = settings.batch().slots();
    return cold() ? Math.min(slots, settings.coldStart().coldSlots()) : slots;
  }

  private boolean cold() {
    ColdStartSettings c = settings.coldStart();
    return finishedSinceBoot < c.requests() || ticker.read() - bootedAt < c.time().toNanos();
  }

  private void boot() {
    bootId = UUID.randomUUID().toString();
    bootedAt = ticker.read();
    finishedSinceBoot = 0;
  }

  private void changed() {
    history.set(current());
  }

  /** A request that wants a slot. Implementations are thread-safe. */
  interface Job {
    VersionRef version();

    /** Lower goes first. */
    int priority();

    /** Has the job run; it holds a slot until {@link ContinuousBatch#release}. */
    void started(Start start);
  }

  /** State of the batch when a job started, which counts already. Immutable. */
  record Start(long restarts, boolean cold, int concurrency) {}

  /** A job in the queue. */
  private record Waiting(Job job, long arrival) {}

  /** A job that got a slot. */
  private record Ready(Job job, Start start) {}
}

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
 * The slots and the queue of an engine, its loaded versions and its cold-start state. A job starts
 * only if a slot is free and, while the engine is cold, a cold slot is free. Thread-safe; jobs are
 * started outside the lock.
 */
final class ContinuousBatch {
  private final EngineSettings settings;
  private final Ticker ticker;
  private final LaggedValue<LoadReport> loadHistory;
  private final Set<VersionRef> versions;
  private final Set<String> adapters = new LinkedHashSet<>();
  private final PriorityQueue<QueuedJob> queue =
      new PriorityQueue<>(
          Comparator.<QueuedJob>comparingInt(q -> q.job().priority())
              .thenComparingLong(QueuedJob::arrival));
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
    this.loadHistory = new LaggedValue<>(ticker, settings.loadLag(), currentReport());
  }

  Optional<EngineRefusal> admit(Job job) {
    JobStart start;
    synchronized (this) {
      Optional<EngineRefusal> refusal = refusalOf(job);
      if (refusal.isPresent()) {
        return refusal;
      }
      if (running >= settings.batch().slots()) {
        queue.add(new QueuedJob(job, arrivals++));
        recordLoad();
        return Optional.empty();
      }
      start = takeSlot();
    }
    job.onSlotGranted(start);
    return Optional.empty();
  }

  /** Removes a job from the queue; returns false if it is not queued. */
  synchronized boolean removeFromQueue(Job job) {
    boolean removed = queue.removeIf(q -> q.job() == job);
    recordLoad();
    return removed;
  }

  /** Frees the slot of a job; has no effect if the engine was restarted since the job started. */
  void release(JobStart start, boolean finished) {
    List<StartedJob> startedJobs = new ArrayList<>();
    synchronized (this) {
      if (start.restarts() != restarts) {
        return;
      }
      running--;
      finishedSinceBoot += finished ? 1 : 0;
      while (running < currentLimit() && !queue.isEmpty()) {
        startedJobs.add(new StartedJob(queue.poll().job(), takeSlot()));
      }
      recordLoad();
    }
    startedJobs.forEach(s -> s.job().onSlotGranted(s.start()));
  }

  synchronized void turnCold() {
    boot();
    recordLoad();
  }

  /** Turns cold and drops all running and queued jobs. */
  synchronized void restart() {
    restarts++;
    running = 0;
    queue.clear();
    turnCold();
  }

  synchronized void load(VersionRef version) {
    versions.add(version);
    recordLoad();
  }

  synchronized void unload(VersionRef version) {
    versions.remove(version);
    recordLoad();
  }

  synchronized void loadAdapter(String adapter) {
    adapters.add(adapter);
    recordLoad();
  }

  synchronized void setRole(String newRole) {
    role = newRole;
    recordLoad();
  }

  synchronized void setDraining(boolean on) {
    draining = on;
    recordLoad();
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

  synchronized LoadReport currentReport() {
    return new LoadReport(
        bootId,
        isCold() ? "cold" : "warm",
        running,
        queue.size(),
        settings.batch().slots(),
        versions.stream().map(VersionRef::toString).toList(),
        List.copyOf(adapters),
        role);
  }

  synchronized LoadReport laggedReport() {
    recordLoad();
    return loadHistory.get();
  }

  private Optional<EngineRefusal> refusalOf(Job job) {
    if (draining) {
      return Optional.of(EngineRefusal.DRAINING);
    }
    if (!versions.contains(job.version())) {
      return Optional.of(EngineRefusal.VERSION_NOT_LOADED);
    }
    if (isCold() && running >= currentLimit()) {
      coldOverloads++;
      return Optional.of(EngineRefusal.COLD_SLOTS_TAKEN);
    }
    if (running >= settings.batch().slots() && queue.size() >= settings.batch().queueLimit()) {
      return Optional.of(EngineRefusal.QUEUE_FULL);
    }
    return Optional.empty();
  }

  private JobStart takeSlot() {
    running++;
    recordLoad();
    return new JobStart(restarts, isCold(), running);
  }

  private int currentLimit() {
    int slots = settings.batch().slots();
    return isCold() ? Math.min(slots, settings.coldStart().coldSlots()) : slots;
  }

  private boolean isCold() {
    ColdStartSettings coldStart = settings.coldStart();
    return finishedSinceBoot < coldStart.requests()
        || ticker.read() - bootedAt < coldStart.time().toNanos();
  }

  private void boot() {
    bootId = UUID.randomUUID().toString();
    bootedAt = ticker.read();
    finishedSinceBoot = 0;
  }

  private void recordLoad() {
    loadHistory.set(currentReport());
  }

  /** A request that needs a slot. Implementations are thread-safe. */
  interface Job {
    VersionRef version();

    /** Returns the priority; jobs with a lower value start first. */
    int priority();

    /** Starts the job, which holds a slot until {@link ContinuousBatch#release}. */
    void onSlotGranted(JobStart start);
  }

  /** State of the batch when a job started, including that job. Immutable. */
  record JobStart(long restarts, boolean cold, int concurrency) {}

  /** A queued job. */
  private record QueuedJob(Job job, long arrival) {}

  /** A job that was given a slot. */
  private record StartedJob(Job job, JobStart start) {}
}

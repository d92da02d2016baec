package org.guavagw.gateway.internal.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.guavagw.gateway.internal.peers.WorkReport;
import org.guavagw.gateway.internal.peers.WorkReport.ServerWork;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.spi.PromptPart;

/**
 * Load, health and probable cache content of every backend server, as far as this entry saw it.
 *
 * <p>Confined to the traffic thread. Knowledge belongs to an incarnation: a backend server that
 * started again begins anew.
 */
public final class LoadBook {
  /** Share of an engine's memory that is taken to hold parts; the rest holds running requests. */
  private static final double CACHE_SHARE = 0.6;

  /** Memory of engines whose size is unknown, in tokens. */
  private static final long DEFAULT_CACHE_TOKENS = 100_000;

  /** How long a backend server that could not be reached is left alone. */
  private static final Duration UNREACHABLE_PAUSE = Duration.ofMillis(1500);

  /** How long a backend server that mostly fails is left alone. */
  private static final Duration FAILING_PAUSE = Duration.ofSeconds(1);

  /** A backend server with less than this to read counts as free. */
  private static final double ALONE_MILLIS = 5;

  private static final double FAILING_SHARE = 0.4;
  private static final double MIN_FAILURES = 2.5;

  private final Map<String, ServerLoad> loads = new HashMap<>();
  private final PromptPace pace = new PromptPace();
  private final NeighbourWork neighbours = new NeighbourWork();
  private final Map<String, PrefixMemory> memories = new HashMap<>();

  ServerLoad load(BackendServer server) {
    return loads.computeIfAbsent(server.incarnation(), i -> new ServerLoad());
  }

  int heldTokens(BackendServer server, String model, List<PromptPart> prompt) {
    PrefixMemory memory = memories.get(server.incarnation());
    return memory == null ? 0 : memory.heldTokens(model, prompt);
  }

  /** Requests under way at a backend server, as far as entries told one another. */
  public int totalRunning(BackendServer server) {
    return load(server).running() + neighbours.at(server.incarnation()).running();
  }

  /** Time that a backend server needs to read the prompts that wait there. */
  public double totalWaitingMillis(BackendServer server) {
    return load(server).waitingMillis() + neighbours.at(server.incarnation()).waitingMillis();
  }

  /** Time that a model needs to read what a backend server does not hold of a prompt. */
  double readingMillis(BackendServer server, String model, List<PromptPart> prompt, int tokens) {
    int held = heldTokens(server, model, prompt);
    return pace.millis(model, Math.max(0, tokens - held));
  }

  /** Time until the first event of a request that would be sent now. */
  public double expectedMillis(
      BackendServer server, String model, List<PromptPart> prompt, int tokens) {
    return totalWaitingMillis(server) + readingMillis(server, model, prompt, tokens);
  }

  /** Takes what another entry has under way. */
  public void onReport(String entry, WorkReport report, long nowNanos) {
    neighbours.onReport(entry, report, nowNanos);
  }

  /** What this entry has under way. */
  public WorkReport report() {
    Map<String, ServerWork> servers = new HashMap<>();
    loads.forEach(
        (incarnation, load) -> {
          if (load.running() > 0) {
            servers.put(incarnation, new ServerWork(load.running(), load.waitingMillis()));
          }
        });
    return new WorkReport(servers);
  }

  /** What some of the other entries have under way. */
  WorkReport ofEntries(Predicate<String> included) {
    return neighbours.sumOf(included);
  }

  /** Notes that an attempt was sent, and returns what has to be read for it. */
  public PromptWork onSent(
      BackendServer server, String model, List<PromptPart> prompt, int tokens, long cacheTokens) {
    int toRead = Math.max(0, tokens - heldTokens(server, model, prompt));
    PromptWork work =
        new PromptWork(
            model, toRead, pace.millis(model, toRead), totalWaitingMillis(server) < ALONE_MILLIS);
    load(server).onSent(work.millis());
    long size = cacheTokens > 0 ? cacheTokens : DEFAULT_CACHE_TOKENS;
    memories
        .computeIfAbsent(server.incarnation(), i -> new PrefixMemory((long) (size * CACHE_SHARE)))
        .remember(model, prompt);
    return work;
  }

  /** Notes that the prompt of an attempt has been read, or need not be read any more. */
  public void onPromptDone(BackendServer server, PromptWork work) {
    load(server).onPromptRead(work.millis());
  }

  /** Notes the first event of an attempt. */
  public void onFirstEvent(PromptWork work, double millis) {
    if (work.alone()) {
      pace.onAloneFirstEvent(work.model(), work.tokens(), millis);
    }
  }

  /** Notes that a backend server sent something. */
  public void onHeard(BackendServer server, long nowNanos) {
    load(server).onHeard(nowNanos);
  }

  /** Notes that the answer to an attempt has begun. */
  public void onBegun(BackendServer server, long sentNanos) {
    load(server).onBegun(sentNanos);
  }

  /** Whether a backend server answers attempts that were sent well after a time. */
  public boolean overtook(BackendServer server, long sentNanos) {
    return load(server).overtook(sentNanos);
  }

  /** Time since a backend server last sent this entry anything; very long if it never did. */
  public Duration quiet(BackendServer server, long nowNanos) {
    return Duration.ofNanos(load(server).quietNanos(nowNanos));
  }

  /** Notes that an attempt has ended. */
  public void onEnded(BackendServer server) {
    load(server).onEnded();
  }

  /** Notes how an attempt went. */
  public void onOutcome(BackendServer server, boolean good, long nowNanos) {
    ServerLoad load = load(server);
    load.onOutcome(good, nowNanos);
    if (!good
        && load.failures(nowNanos) >= MIN_FAILURES
        && load.failureShare(nowNanos) >= FAILING_SHARE) {
      load.avoidUntil(nowNanos + FAILING_PAUSE.toNanos());
    }
  }

  /** Notes that a backend server could not be reached. */
  public void onUnreachable(BackendServer server, long nowNanos) {
    ServerLoad load = load(server);
    load.onOutcome(false, nowNanos);
    load.avoidUntil(nowNanos + UNREACHABLE_PAUSE.toNanos());
  }

  /** Forgets backend servers that are gone and have nothing under way. */
  public void retain(Set<String> incarnations, long nowNanos) {
    neighbours.sumUp(nowNanos);
    Set<String> idle =
        loads.entrySet().stream()
            .filter(e -> !incarnations.contains(e.getKey()) && e.getValue().running() == 0)
            .map(Map.Entry::getKey)
            .collect(Collectors.toSet());
    loads.keySet().removeAll(idle);
    memories.keySet().removeAll(idle);
  }
}

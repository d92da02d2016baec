package org.guavagw.gateway.internal.control;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.PrintStream;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.guavagw.gateway.internal.ManualClock;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.internal.peers.ConfigQuery;
import org.guavagw.gateway.internal.peers.HubSelector;
import org.guavagw.gateway.internal.peers.Members.Member;
import org.guavagw.gateway.internal.peers.ReplicaQuery;
import org.guavagw.gateway.spi.ControlStore;
import org.guavagw.internal.peer.PeerMessage;

/**
 * The control planes of many entries in virtual time, with one store and messages between them. Not
 * thread-safe.
 */
final class SimulatedDeployment implements AutoCloseable {
  /** The slowest link that a VM has. */
  static final long LINK_BYTES_PER_SECOND = 7_000_000 / 8;

  private static final Duration STEP = Duration.ofMillis(10);
  private static final Duration HOP = Duration.ofMillis(2);
  private static final Set<String> REGION = Set.of("dc0", "dc1", "dc2", "dc3");

  private final ManualClock clock = new ManualClock();
  private final EmbeddedChannel loop = new EmbeddedChannel();
  private final EventLog log =
      new EventLog("test", InstantSource.system(), new PrintStream(PrintStream.nullOutputStream()));
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final Duration configLimit;

  private final Map<String, Integer> callsByCause = new TreeMap<>();
  private final Set<String> withoutPeers = new HashSet<>();
  private String cutOffDataCentre = "";
  private Optional<SimulatedLinks> links = Optional.empty();
  private final Map<String, Member> killed = new HashMap<>();
  private final SimulatedStore store = new SimulatedStore(loop.eventLoop(), clock);

  /**
   * Starts entries in four data centres and waits until they serve.
   *
   * @param configLimit time within which a configuration must be in force everywhere
   */
  SimulatedDeployment(int count, Duration configLimit) {
    this.configLimit = configLimit;
    loop.freezeTime();
    store.put("orders", "config", "config 1");
    for (int i = 0; i < count; i++) {
      add(new Member("entry-" + i, "dc" + i % 4, "127.0.0.1", i + 1));
    }
    entries.values().forEach(e -> e.plane.start());
    advance(Duration.ofSeconds(6));
  }

  private Entry add(Member self) {
    Entry entry = new Entry(self, HubTiming.within(configLimit).onLink(LINK_BYTES_PER_SECOND));
    entries.put(self.name(), entry);
    return entry;
  }

  /** Returns the answered calls to the store by table, cause and result. */
  Map<String, Integer> callsByCause() {
    return new TreeMap<>(callsByCause);
  }

  /** Measures from now on how long messages take the links of entries, and returns the measure. */
  SimulatedLinks measureLinks(long bytesPerSecond) {
    SimulatedLinks measured = new SimulatedLinks(bytesPerSecond, clock);
    links = Optional.of(measured);
    return measured;
  }

  /** Lets no message between an entry and any other one through any more. */
  void cutOffFromPeers(String name) {
    withoutPeers.add(name);
  }

  /** Lets no message between a data centre and the other ones through any more. */
  void cutOffDataCentre(String dataCentre) {
    this.cutOffDataCentre = dataCentre;
  }

  private boolean areConnected(Member one, Member other) {
    boolean sameSide =
        one.dataCentre().equals(cutOffDataCentre) == other.dataCentre().equals(cutOffDataCentre);
    return sameSide && !withoutPeers.contains(one.name()) && !withoutPeers.contains(other.name());
  }

  /** Ends the process of an entry; nothing answers at its address. */
  void kill(String name) {
    Entry entry = entries.remove(name);
    entry.client.close();
    killed.put(name, entry.self);
  }

  /** Starts the process of an entry again, which knows nothing. */
  void restart(String name) {
    add(killed.remove(name)).plane.start();
  }

  /** Returns the names of the entries that run. */
  List<String> running() {
    return List.copyOf(entries.keySet());
  }

  /** Returns the names of the entries that have a version of the configuration in force. */
  List<String> withConfig(long version) {
    return entries.values().stream()
        .filter(e -> e.view.get().configVersion() == version)
        .map(e -> e.self.name())
        .toList();
  }

  /** Returns the names of the entries whose orders were confirmed within some time. */
  List<String> confirmedWithin(Duration age) {
    List<String> names = new ArrayList<>();
    entries.forEach(
        (name, entry) -> {
          if (entry.view.ordersAge().compareTo(age) <= 0) {
            names.add(name);
          }
        });
    return names;
  }

  SimulatedStore store() {
    return store;
  }

  /** Returns the names of the entries that read the store for others. */
  List<String> hubs() {
    return entries.values().stream()
        .filter(e -> !e.plane.followsHub())
        .map(e -> e.self.name())
        .toList();
  }

  /** Returns the names of the entries that would send requests to a backend server. */
  List<String> using(String server) {
    List<String> names = new ArrayList<>();
    entries.forEach(
        (name, entry) -> {
          if (TextFormat.serving(entry.view.get(), server).isPresent()) {
            names.add(name);
          }
        });
    return names;
  }

  void advance(Duration time) {
    for (long done = 0; done < time.toMillis(); done += STEP.toMillis()) {
      clock.advance(STEP);
      loop.advanceTimeBy(STEP.toMillis(), TimeUnit.MILLISECONDS);
      loop.runScheduledPendingTasks();
      loop.runPendingTasks();
    }
  }

  @Override
  public void close() {
    loop.finishAndReleaseAll();
    log.close();
  }

  private void after(Duration delay, Runnable task) {
    var unused = loop.eventLoop().schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
  }

  private CompletableFuture<PeerMessage> request(
      Entry from, String to, PeerMessage message, Duration timeout) {
    CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
    if (entries.get(from.self.name()) != from) {
      return answer;
    }
    after(timeout, () -> answer.completeExceptionally(new TimeoutException("no answer")));
    after(
        HOP,
        () -> {
          Entry entry = entries.get(to);
          if (entry != null && areConnected(from.self, entry.self)) {
            var unused =
                entry
                    .onRequest(from.self.name(), message)
                    .thenAccept(
                        m -> {
                          links.filter(l -> m != null).ifPresent(l -> l.send(to, m));
                          after(HOP, () -> answer.complete(m));
                        });
          }
        });
    return answer;
  }

  /** The control plane of one entry. */
  private final class Entry {
    private final Member self;
    private final ControlStore client;
    private final CurrentControlView view = new CurrentControlView(clock.clocks());
    private final ControlPlane plane;

    Entry(Member self, HubTiming timing) {
      this.self = self;
      this.client =
          new CountingStore(
              store.client(self.name()),
              (table, cause, result) ->
                  callsByCause.merge(table + " " + cause + " " + result, 1, Integer::sum));
      TextFormat format = new TextFormat();
      MemberTable members =
          new MemberTable(self, client, format, loop.eventLoop(), log, known -> {});
      this.plane =
          new ControlPlane(
              client,
              format,
              new ControlState(format, view, loop.eventLoop(), clock.clocks(), log),
              members,
              new SuspectTable(self, client, format, loop.eventLoop(), log),
              view,
              new HubSelector(members::reachable, timing.minMembers(), REGION, clock),
              (to, message, timeout) -> request(this, to, message, timeout),
              loop.eventLoop(),
              clock.clocks(),
              log,
              timing);
    }

    CompletionStage<PeerMessage> onRequest(String from, PeerMessage message) {
      return message instanceof ReplicaQuery query
          ? plane.onQuery(from, query)
          : plane.onQuery((ConfigQuery) message);
    }
  }
}

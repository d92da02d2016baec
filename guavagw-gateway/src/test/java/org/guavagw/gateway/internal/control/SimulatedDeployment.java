package org.guavagw.gateway.internal.control;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.PrintStream;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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
import org.guavagw.internal.peer.PeerMessage;

/**
 * The control planes of many entries in virtual time, with one store and messages between them. Not
 * thread-safe.
 */
final class SimulatedDeployment implements AutoCloseable {
  private static final Duration STEP = Duration.ofMillis(10);
  private static final Duration HOP = Duration.ofMillis(2);

  private final ManualClock clock = new ManualClock();
  private final EmbeddedChannel loop = new EmbeddedChannel();
  private final EventLog log =
      new EventLog("test", InstantSource.system(), new PrintStream(PrintStream.nullOutputStream()));
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final SimulatedStore store = new SimulatedStore(loop.eventLoop(), clock);

  /**
   * Starts entries in four data centres and waits until they serve.
   *
   * @param configLimit time within which a configuration must be in force everywhere
   */
  SimulatedDeployment(int count, Duration configLimit) {
    loop.freezeTime();
    store.put("orders", "config", "config 1");
    for (int i = 0; i < count; i++) {
      Member self = new Member("entry-" + i, "dc" + i % 4, "127.0.0.1", i + 1);
      entries.put(self.name(), new Entry(self, HubTiming.within(configLimit)));
    }
    entries.values().forEach(e -> e.plane.start());
    advance(Duration.ofSeconds(6));
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
      String entry, PeerMessage message, Duration timeout) {
    CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
    after(timeout, () -> answer.completeExceptionally(new TimeoutException("no answer")));
    after(
        HOP,
        () -> {
          var unused =
              entries
                  .get(entry)
                  .onRequest(message)
                  .thenAccept(m -> after(HOP, () -> answer.complete(m)));
        });
    return answer;
  }

  /** The control plane of one entry. */
  private final class Entry {
    private final Member self;
    private final CurrentControlView view = new CurrentControlView(clock.clocks());
    private final ControlPlane plane;

    Entry(Member self, HubTiming timing) {
      this.self = self;
      var client = store.client(self.name());
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
              new HubSelector(members::current, timing.minMembers(), clock),
              SimulatedDeployment.this::request,
              loop.eventLoop(),
              clock.clocks(),
              log,
              timing);
    }

    CompletionStage<PeerMessage> onRequest(PeerMessage message) {
      return message instanceof ReplicaQuery query
          ? plane.onQuery(query)
          : plane.onQuery((ConfigQuery) message);
    }
  }
}

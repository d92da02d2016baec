package org.guavagw.internal.config;

import com.google.common.base.Ticker;
import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.guavagw.internal.config.ConfigMessage.Notice;
import org.guavagw.internal.config.ConfigMessage.Pull;
import org.guavagw.internal.config.ConfigMessage.Revisions;
import org.guavagw.internal.membership.DataCentreSummary;
import org.guavagw.internal.membership.GossipMembership;
import org.guavagw.internal.membership.Member;
import org.guavagw.internal.peer.PeerIdentity;
import org.guavagw.internal.peer.PeerMessage;
import org.guavagw.internal.peer.PeerNetwork;

/**
 * Brings every entry the newest configuration: a few entries of each data centre read the table
 * service, all tell their peers which revision they hold, and whoever holds less pulls.
 *
 * <p>Invariants: only a higher revision is adopted, so late and crossed answers do no harm; at most
 * one read and one pull are under way. State belongs to the control thread.
 */
public final class ConfigSpread implements InForceTable, AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long POLL_INTERVAL_MS = 1_000;
  private static final double JITTER = 0.3;
  private static final int POLLERS_PER_DATA_CENTRE = 2;
  private static final Duration PULL_TIMEOUT = Duration.ofSeconds(2);

  private final ConfigHolder holder;
  private final ConfigFeed feed;
  private final PeerNetwork network;
  private final GossipMembership membership;
  private final ScheduledExecutorService control;
  private final RandomGenerator random;
  private final Executor blocking;
  private final Ticker ticker;
  private final ConfigCodec codec = new ConfigCodec();
  private final RevisionLog log = new RevisionLog(codec);
  private final InForceSection inForce = new InForceSection();
  private final ConfirmationClock freshness;
  private final Map<String, Long> heard = new HashMap<>();
  private boolean reading;
  private boolean pulling;
  private volatile boolean closed;

  public ConfigSpread(
      ConfigHolder holder,
      ConfigFeed feed,
      PeerNetwork network,
      GossipMembership membership,
      ScheduledExecutorService control,
      Executor blocking,
      Ticker ticker,
      RandomGenerator random) {
    this.holder = holder;
    this.feed = feed;
    this.network = network;
    this.membership = membership;
    this.control = control;
    this.random = random;
    this.blocking = blocking;
    this.ticker = ticker;
    this.freshness = new ConfirmationClock(ticker);
    membership.add(new RevisionSection(holder, freshness, this::heard));
    membership.add(inForce);
    membership.summarizeWith(inForce::summarize);
    membership.onChange(this::forgetOthers);
  }

  /** Starts to poll and to answer peers. */
  public void start() {
    network.onMessage(Notice.class, (from, n) -> heard(from.memberId(), n.revision()));
    network.onRequest(Pull.class, this::answer);
    control.execute(
        () -> {
          read();
          schedulePoll();
        });
  }

  /** Reads the table service at once, for instance after a change was applied here. */
  public void readNow() {
    control.execute(this::read);
  }

  /** How sure this entry is that it has the newest configuration. */
  public ConfigFreshness freshness() {
    return freshness;
  }

  @Override
  public List<DataCentreSummary> dataCentres() {
    return membership.summaries();
  }

  private void schedulePoll() {
    if (closed) {
      return;
    }
    double factor = 1 + JITTER * (random.nextDouble() - 0.5);
    long delayMs = (long) (POLL_INTERVAL_MS * factor);
    var unused = control.schedule(this::poll, delayMs, TimeUnit.MILLISECONDS);
  }

  private void poll() {
    try {
      if (membership.isChosen("config-poll", POLLERS_PER_DATA_CENTRE)) {
        read();
      }
    } finally {
      schedulePoll();
    }
  }

  private void read() {
    if (reading || closed) {
      return;
    }
    reading = true;
    RevisionedConfig known = holder.current();
    long startedAtNs = ticker.read();
    blocking.execute(() -> readBlocking(known, startedAtNs));
  }

  private void readBlocking(RevisionedConfig known, long startedAtNs) {
    Optional<ConfigUpdate> update = Optional.empty();
    try {
      Either<ConfigFailure, ConfigUpdate> result = feed.since(known);
      update = result.toJavaOptional();
    } catch (RuntimeException e) {
      logger.atWarning().withCause(e).log("reading the configuration failed");
    }
    Optional<ConfigUpdate> taken = update;
    control.execute(() -> finishRead(taken, startedAtNs));
  }

  private void finishRead(Optional<ConfigUpdate> update, long startedAtNs) {
    reading = false;
    if (update.isEmpty()) {
      return;
    }
    ConfigUpdate read = update.get();
    List<byte[]> steps = read.records().stream().map(codec::encode).toList();
    adopt(read.config(), steps);
    if (read.config().revision() >= holder.current().revision()) {
      freshness.confirmed(Duration.ofNanos(ticker.read() - startedAtNs));
    }
  }

  private void adopt(RevisionedConfig next, List<byte[]> steps) {
    long before = holder.current().revision();
    if (!holder.adopt(next)) {
      return;
    }
    boolean leadsOn = before + steps.size() == next.revision();
    log.add(next, leadsOn ? steps : List.of());
    inForce.inForce(membership.self().id(), next.revision());
    tell(next.revision());
  }

  private void tell(long revision) {
    Notice notice = new Notice(revision);
    for (String peer : membership.heartbeatPeers()) {
      if (heard.getOrDefault(peer, 0L) < revision) {
        var unused = network.send(peer, notice);
      }
    }
  }

  private void forgetOthers(List<Member> members) {
    heard.keySet().retainAll(members.stream().map(Member::id).toList());
  }

  private void heard(String peer, long revision) {
    heard.merge(peer, revision, Math::max);
    pullIfBehind();
  }

  private void pullIfBehind() {
    long own = holder.current().revision();
    Optional<String> source = source(own);
    if (pulling || source.isEmpty()) {
      return;
    }
    pulling = true;
    var unused =
        network
            .request(source.get(), new Pull(own), PULL_TIMEOUT)
            .whenCompleteAsync((m, e) -> finishPull(source.get(), m), control);
  }

  private Optional<String> source(long own) {
    Set<String> ahead = new TreeSet<>();
    heard.forEach(
        (peer, revision) -> {
          if (revision > own) {
            ahead.add(peer);
          }
        });
    return ahead.stream()
        .filter(membership::sameDataCentre)
        .findFirst()
        .or(() -> ahead.stream().findFirst());
  }

  private void finishPull(String peer, PeerMessage message) {
    pulling = false;
    if (!(message instanceof Revisions answer)) {
      heard.remove(peer);
      pullIfBehind();
      return;
    }
    heard.put(peer, answer.revision());
    RevisionedConfig known = holder.current();
    Optional<RevisionedConfig> next = log.read(answer, known);
    next.ifPresentOrElse(c -> adopt(c, answer.records()), () -> heard.remove(peer));
    pullIfBehind();
  }

  private CompletionStage<? extends PeerMessage> answer(PeerIdentity from, Pull pull) {
    return CompletableFuture.completedFuture(log.after(pull.after()));
  }

  @Override
  public void close() {
    closed = true;
  }
}

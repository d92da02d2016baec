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
 * Distributes the newest configuration to all entries: a few entries of each data centre poll the
 * table service, each entry announces its revision to its peers, and entries with a lower revision
 * pull the newer ones.
 *
 * <p>Invariants: only a higher revision is adopted, so late or reordered answers are harmless; at
 * most one read and one pull are in progress. State is confined to the control thread.
 */
public final class ConfigDistributor implements InForceRevisions, AutoCloseable {
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
  private final InForceRevisionSection inForce = new InForceRevisionSection();
  private final ConfirmationTracker freshness;
  private final Map<String, Long> peerRevisions = new HashMap<>();
  private boolean readInProgress;
  private boolean pullInProgress;
  private volatile boolean closed;

  public ConfigDistributor(
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
    this.freshness = new ConfirmationTracker(ticker);
    membership.add(new RevisionSection(holder, freshness, this::onPeerRevision));
    membership.add(inForce);
    membership.setSummarizer(inForce::summarize);
    membership.onChange(this::forgetRemovedMembers);
  }

  /** Starts to poll the table service and to answer peers. */
  public void start() {
    network.onMessage(Notice.class, (from, n) -> onPeerRevision(from.memberId(), n.revision()));
    network.onRequest(Pull.class, this::onPull);
    control.execute(
        () -> {
          startRead();
          schedulePoll();
        });
  }

  /** Reads the table service immediately, for instance after this entry accepted a change. */
  public void readNow() {
    control.execute(this::startRead);
  }

  /** Returns how recently this entry's configuration was confirmed to be the newest. */
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
      if (membership.isAssigned("config-poll", POLLERS_PER_DATA_CENTRE)) {
        startRead();
      }
    } finally {
      schedulePoll();
    }
  }

  private void startRead() {
    if (readInProgress || closed) {
      return;
    }
    readInProgress = true;
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
    Optional<ConfigUpdate> finalUpdate = update;
    control.execute(() -> finishRead(finalUpdate, startedAtNs));
  }

  private void finishRead(Optional<ConfigUpdate> update, long startedAtNs) {
    readInProgress = false;
    if (update.isEmpty()) {
      return;
    }
    ConfigUpdate read = update.get();
    List<byte[]> records = read.records().stream().map(codec::encode).toList();
    adopt(read.config(), records);
    if (read.config().revision() >= holder.current().revision()) {
      freshness.onConfirmed(Duration.ofNanos(ticker.read() - startedAtNs));
    }
  }

  private void adopt(RevisionedConfig next, List<byte[]> records) {
    long before = holder.current().revision();
    if (!holder.adopt(next)) {
      return;
    }
    boolean hasAllRecords = before + records.size() == next.revision();
    log.add(next, hasAllRecords ? records : List.of());
    inForce.setRevision(membership.self().id(), next.revision());
    notifyPeers(next.revision());
  }

  private void notifyPeers(long revision) {
    Notice notice = new Notice(revision);
    for (String peer : membership.heartbeatPeers()) {
      if (peerRevisions.getOrDefault(peer, 0L) < revision) {
        var unused = network.send(peer, notice);
      }
    }
  }

  private void forgetRemovedMembers(List<Member> members) {
    peerRevisions.keySet().retainAll(members.stream().map(Member::id).toList());
  }

  private void onPeerRevision(String peer, long revision) {
    peerRevisions.merge(peer, revision, Math::max);
    pullIfBehind();
  }

  private void pullIfBehind() {
    long own = holder.current().revision();
    Optional<String> peer = peerAhead(own);
    if (pullInProgress || peer.isEmpty()) {
      return;
    }
    pullInProgress = true;
    var unused =
        network
            .request(peer.get(), new Pull(own), PULL_TIMEOUT)
            .whenCompleteAsync((m, e) -> finishPull(peer.get(), m), control);
  }

  private Optional<String> peerAhead(long own) {
    Set<String> ahead = new TreeSet<>();
    peerRevisions.forEach(
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
    pullInProgress = false;
    if (!(message instanceof Revisions answer)) {
      peerRevisions.remove(peer);
      pullIfBehind();
      return;
    }
    peerRevisions.put(peer, answer.revision());
    RevisionedConfig known = holder.current();
    Optional<RevisionedConfig> next = log.read(answer, known);
    next.ifPresentOrElse(c -> adopt(c, answer.records()), () -> peerRevisions.remove(peer));
    pullIfBehind();
  }

  private CompletionStage<? extends PeerMessage> onPull(PeerIdentity from, Pull pull) {
    return CompletableFuture.completedFuture(log.after(pull.after()));
  }

  @Override
  public void close() {
    closed = true;
  }
}

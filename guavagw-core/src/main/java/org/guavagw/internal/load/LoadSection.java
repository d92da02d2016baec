package org.guavagw.internal.load;

import com.google.common.base.Ticker;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.guavagw.config.VersionRef;
import org.guavagw.internal.membership.GossipLink;
import org.guavagw.internal.membership.GossipSection;
import org.guavagw.internal.membership.GossipTable;
import org.guavagw.internal.peer.PeerCodec;

/**
 * Holds and gossips the load reports of the backend servers of one data centre. Changed on the
 * control thread only; {@link #load} may be called from any thread.
 *
 * <p>Invariant: a report is replaced only by one with a higher sequence number, so reports that
 * arrive out of order are harmless.
 */
final class LoadSection implements GossipSection, BackendLoadTable {
  private static final int CODE = 5;
  private static final long AGE_UNIT_NS = Duration.ofMillis(100).toNanos();
  private static final long REFRESH_INTERVAL_NS = Duration.ofSeconds(10).toNanos();
  private static final long MAX_AGE_NS = Duration.ofSeconds(60).toNanos();

  private final PeerCodec codec = new PeerCodec();
  private final GossipTable<Integer, CurrentLoad> currentLoads = new GossipTable<>();
  private final GossipTable<Integer, ServerIdentity> identities = new GossipTable<>();
  private final Ticker ticker;
  private volatile ServerIdHashes hashes = new ServerIdHashes(Set.of());

  LoadSection(Ticker ticker) {
    this.ticker = ticker;
  }

  void setHashes(ServerIdHashes next) {
    hashes = next;
  }

  /** Applies a load that this entry polled; publishes it if it changed enough or is due. */
  void onPolled(String server, ServerLoad load) {
    int hash = ServerIdHashes.hash(server);
    Optional<CurrentLoad> known = currentLoads.get(hash);
    long sequence = known.map(CurrentLoad::sequence).orElse(0L) + 1;
    CurrentLoad next =
        new CurrentLoad(
            hash, sequence, load.isCold(), load.running(), load.waiting(), ticker.read());
    ServerIdentity identity = identity(hash, sequence, load);
    Optional<ServerIdentity> before = identities.get(hash);
    if (before.isEmpty() || !before.get().sameContent(identity)) {
      identities.put(hash, identity, Optional.empty());
      currentLoads.put(hash, next, Optional.empty());
      return;
    }
    if (known.isEmpty() || shouldPublish(known.get(), next, load.slots())) {
      currentLoads.put(hash, next, Optional.empty());
    }
  }

  private static boolean shouldPublish(CurrentLoad known, CurrentLoad next, int slots) {
    boolean isRefreshDue = next.observedAtNs() - known.observedAtNs() >= REFRESH_INTERVAL_NS;
    return isRefreshDue || next.differsSignificantly(known, slots);
  }

  private static ServerIdentity identity(int hash, long sequence, ServerLoad load) {
    return new ServerIdentity(
        hash, sequence, load.bootId(), load.slots(), load.role(), load.versions(), load.adapters());
  }

  /** Returns the time since the newest known report was polled; empty if there is none. */
  Optional<Duration> age(String server) {
    return currentLoads
        .get(ServerIdHashes.hash(server))
        .map(h -> Duration.ofNanos(ticker.read() - h.observedAtNs()));
  }

  @Override
  public Optional<LoadReport> load(String backendServer) {
    int hash = ServerIdHashes.hash(backendServer);
    Optional<CurrentLoad> load = currentLoads.get(hash);
    Optional<ServerIdentity> identity = identities.get(hash);
    if (load.isEmpty() || identity.isEmpty() || !hashes.isUnique(hash)) {
      return Optional.empty();
    }
    long ageNs = ticker.read() - load.get().observedAtNs();
    return ageNs > MAX_AGE_NS
        ? Optional.empty()
        : Optional.of(report(load.get(), identity.get(), Duration.ofNanos(ageNs)));
  }

  private static LoadReport report(CurrentLoad load, ServerIdentity identity, Duration age) {
    List<VersionRef> versions = identity.versions().stream().map(VersionRef::parse).toList();
    return new LoadReport(
        identity.bootId(),
        load.cold(),
        load.running(),
        load.waiting(),
        identity.slots(),
        versions,
        age);
  }

  @Override
  public int code() {
    return CODE;
  }

  @Override
  public boolean crossesDataCentres() {
    return false;
  }

  @Override
  public Optional<byte[]> collect(GossipLink link) {
    List<ServerIdentity> changedIdentities = identities.collect(link);
    List<CurrentLoad> changedLoads = currentLoads.collect(link);
    if (changedIdentities.isEmpty() && changedLoads.isEmpty()) {
      return Optional.empty();
    }
    long now = ticker.read();
    List<LoadDigest> digests = changedLoads.stream().map(l -> digest(l, now)).toList();
    return Optional.of(codec.encode(new Body(changedIdentities, digests)));
  }

  private static LoadDigest digest(CurrentLoad load, long nowNs) {
    long ageUnits = (nowNs - load.observedAtNs()) / AGE_UNIT_NS;
    return new LoadDigest(
        load.serverHash(),
        load.sequence(),
        ageUnits,
        load.cold() ? 1 : 0,
        load.running(),
        load.waiting());
  }

  @Override
  public void receive(GossipLink link, byte[] content) {
    Body body = codec.decode(content, Body.class);
    Optional<String> peer = Optional.of(link.peerId());
    body.identities().forEach(i -> applyIfNewer(i, peer));
    body.loads().forEach(l -> applyIfNewer(l, peer));
  }

  private void applyIfNewer(ServerIdentity next, Optional<String> fromPeer) {
    Optional<ServerIdentity> known = identities.get(next.serverHash());
    if (known.isEmpty() || known.get().sequence() < next.sequence()) {
      identities.put(next.serverHash(), next, fromPeer);
    }
  }

  private void applyIfNewer(LoadDigest next, Optional<String> fromPeer) {
    Optional<CurrentLoad> known = currentLoads.get(next.serverHash());
    if (known.isPresent() && known.get().sequence() >= next.sequence()) {
      return;
    }
    long observedAtNs = ticker.read() - next.ageUnits() * AGE_UNIT_NS;
    CurrentLoad load =
        new CurrentLoad(
            next.serverHash(),
            next.sequence(),
            next.cold() != 0,
            next.running(),
            next.waiting(),
            observedAtNs);
    currentLoads.put(next.serverHash(), load, fromPeer);
  }

  @Override
  public void onConfirmed(GossipLink link) {
    currentLoads.markConfirmed(link);
    identities.markConfirmed(link);
  }

  @Override
  public void onLinkReset(GossipLink link) {
    currentLoads.reset(link);
    identities.reset(link);
  }

  /** The encoded form of the section. Immutable. */
  private record Body(List<ServerIdentity> identities, List<LoadDigest> loads) {}

  /** The encoded form of a {@link CurrentLoad}. Immutable. */
  private record LoadDigest(
      int serverHash, long sequence, long ageUnits, int cold, int running, int waiting) {}
}

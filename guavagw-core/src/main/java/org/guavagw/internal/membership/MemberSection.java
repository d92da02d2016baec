package org.guavagw.internal.membership;

import com.google.common.base.Ticker;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.guavagw.internal.peer.PeerCodec;

/**
 * Gossips member records as deltas and detects with a digest that two entries still differ.
 *
 * <p>Invariant: a new link first carries the changes of the last 20 s, since those may not have
 * reached the peer over other links yet; older changes are assumed to be known there unless the
 * digests keep differing. Confined to the control thread.
 */
final class MemberSection implements GossipSection {
  private static final int CODE = 1;
  private static final int MISMATCHES_BEFORE_RESYNC = 5;
  private static final long RESYNC_INTERVAL_NS = Duration.ofSeconds(10).toNanos();

  private final MemberRecords records;
  private final PeerCodec codec;
  private final Ticker ticker;
  private final Map<GossipLink, Integer> mismatchCounts = new HashMap<>();
  private final ChangeNumberHistory changeNumbers = new ChangeNumberHistory();
  private boolean hasSynced;
  private boolean hasRequestedAll;
  private long requestedAllAtNs;

  MemberSection(MemberRecords records, PeerCodec codec, Ticker ticker) {
    this.records = records;
    this.codec = codec;
    this.ticker = ticker;
  }

  @Override
  public int code() {
    return CODE;
  }

  @Override
  public boolean crossesDataCentres() {
    return true;
  }

  @Override
  public Optional<byte[]> collect(GossipLink link) {
    changeNumbers.add(ticker.read(), records.table().newestChange());
    List<MemberRecord> changed = records.table().collect(link);
    return Optional.of(codec.encode(new Body(records.digest(), shouldRequestAll(link), changed)));
  }

  private boolean shouldRequestAll(GossipLink link) {
    boolean differs = mismatchCounts.getOrDefault(link, 0) >= MISMATCHES_BEFORE_RESYNC;
    boolean needed = !hasSynced || differs;
    boolean requestedRecently =
        hasRequestedAll && ticker.read() - requestedAllAtNs < RESYNC_INTERVAL_NS;
    if (!needed || requestedRecently) {
      return false;
    }
    hasRequestedAll = true;
    requestedAllAtNs = ticker.read();
    mismatchCounts.remove(link);
    return true;
  }

  @Override
  public void receive(GossipLink link, byte[] content) {
    Body body = codec.decode(content, Body.class);
    body.changed().forEach(r -> records.applyIfNewer(r, Optional.of(link.peerId())));
    if (body.wantsAll()) {
      records.table().reset(link);
    }
    if (body.digest() != records.digest()) {
      mismatchCounts.merge(link, 1, Integer::sum);
      return;
    }
    mismatchCounts.remove(link);
    if (!hasSynced) {
      hasSynced = true;
      changeNumbers.reset(records.table().newestChange());
    }
  }

  @Override
  public void onConfirmed(GossipLink link) {
    records.table().markConfirmed(link);
  }

  @Override
  public void onLinkReset(GossipLink link) {
    records.table().markConfirmedUpTo(link, changeNumbers.newestBeforeWindow(ticker.read()));
    mismatchCounts.remove(link);
  }

  /** The encoded form of the section. Immutable. */
  private record Body(long digest, boolean wantsAll, List<MemberRecord> changed) {}
}

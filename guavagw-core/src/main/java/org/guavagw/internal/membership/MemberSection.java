package org.guavagw.internal.membership;

import com.google.common.base.Ticker;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.guavagw.internal.peer.PeerCodec;

/**
 * Spreads member records as deltas and finds with a digest where two entries still differ.
 *
 * <p>Invariant: a new link carries the changes of the last minute, since those may not have reached
 * the other end on another way yet; older ones are taken as known until the digests say otherwise.
 * Confined to the control thread.
 */
final class MemberSection implements GossipSection {
  private static final int CODE = 1;
  private static final int DIFFERENCES_BEFORE_RESYNC = 5;
  private static final long RESYNC_INTERVAL_NS = Duration.ofSeconds(10).toNanos();

  private final MemberRecords records;
  private final PeerCodec codec;
  private final Ticker ticker;
  private final Map<GossipLink, Integer> differences = new HashMap<>();
  private final RecentChanges recent = new RecentChanges();
  private boolean everSynced;
  private boolean everAsked;
  private long askedAtNs;

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
    recent.note(ticker.read(), records.table().newest());
    List<MemberRecord> changed = records.table().collect(link);
    return Optional.of(codec.encode(new Body(records.digest(), wantsAll(link), changed)));
  }

  private boolean wantsAll(GossipLink link) {
    boolean differs = differences.getOrDefault(link, 0) >= DIFFERENCES_BEFORE_RESYNC;
    boolean wanted = !everSynced || differs;
    boolean askedLately = everAsked && ticker.read() - askedAtNs < RESYNC_INTERVAL_NS;
    if (!wanted || askedLately) {
      return false;
    }
    everAsked = true;
    askedAtNs = ticker.read();
    differences.remove(link);
    return true;
  }

  @Override
  public void receive(GossipLink link, byte[] content) {
    Body body = codec.decode(content, Body.class);
    body.changed().forEach(r -> records.learn(r, Optional.of(link.peerId())));
    if (body.wantsAll()) {
      records.table().dropped(link);
    }
    if (body.digest() != records.digest()) {
      differences.merge(link, 1, Integer::sum);
      return;
    }
    differences.remove(link);
    if (!everSynced) {
      everSynced = true;
      recent.reset(records.table().newest());
    }
  }

  @Override
  public void confirmed(GossipLink link) {
    records.table().confirmed(link);
  }

  @Override
  public void dropped(GossipLink link) {
    records.table().skip(link, recent.numberBefore(ticker.read()));
    differences.remove(link);
  }

  /** The section as it travels. Immutable. */
  private record Body(long digest, boolean wantsAll, List<MemberRecord> changed) {}
}

package org.guavagw.internal.membership;

import com.google.common.base.Ticker;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.guavagw.internal.peer.PeerCodec;

/**
 * Gossips the summary of each data centre and records when each was last updated. Changed on the
 * control thread only; {@link #summaries} may be called from any thread.
 */
final class SummarySection implements GossipSection {
  private static final int CODE = 2;

  private final GossipTable<String, DataCentreSummary> table = new GossipTable<>();
  private final Map<String, Long> updatedAtNs = new HashMap<>();
  private final PeerCodec codec;
  private final Ticker ticker;

  SummarySection(PeerCodec codec, Ticker ticker) {
    this.codec = codec;
    this.ticker = ticker;
  }

  List<DataCentreSummary> summaries() {
    return table.values();
  }

  Optional<DataCentreSummary> summary(String dataCentre) {
    return table.get(dataCentre);
  }

  long lastBeat(String dataCentre) {
    return summary(dataCentre).map(DataCentreSummary::beat).orElse(0L);
  }

  /**
   * Returns the time since the newest summary of a data centre arrived, or since the first call if
   * there is none.
   */
  long timeSinceUpdateNs(String dataCentre) {
    long now = ticker.read();
    return now - updatedAtNs.computeIfAbsent(dataCentre, d -> now);
  }

  /** Publishes a summary of this entry's own data centre. */
  void publish(DataCentreSummary summary) {
    applyIfNewer(summary, Optional.empty());
  }

  private void applyIfNewer(DataCentreSummary summary, Optional<String> fromPeer) {
    if (summary.beat() <= lastBeat(summary.dataCentre())) {
      return;
    }
    table.put(summary.dataCentre(), summary, fromPeer);
    updatedAtNs.put(summary.dataCentre(), ticker.read());
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
    List<DataCentreSummary> changed = table.collect(link);
    return changed.isEmpty() ? Optional.empty() : Optional.of(codec.encode(new Body(changed)));
  }

  @Override
  public void receive(GossipLink link, byte[] body) {
    codec
        .decode(body, Body.class)
        .changed()
        .forEach(s -> applyIfNewer(s, Optional.of(link.peerId())));
  }

  @Override
  public void onConfirmed(GossipLink link) {
    table.markConfirmed(link);
  }

  @Override
  public void onLinkReset(GossipLink link) {
    table.reset(link);
  }

  /** The encoded form of the section. Immutable. */
  private record Body(List<DataCentreSummary> changed) {}
}

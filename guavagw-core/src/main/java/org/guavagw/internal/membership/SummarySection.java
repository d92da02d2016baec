package org.guavagw.internal.membership;

import com.google.common.base.Ticker;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.guavagw.internal.peer.PeerCodec;

/**
 * Spreads the summary of each data centre and notes when each was last renewed. Changes belong to
 * the control thread; {@link #summaries} may be called from any.
 */
final class SummarySection implements GossipSection {
  private static final int CODE = 2;

  private final DeltaTable<String, DataCentreSummary> table = new DeltaTable<>();
  private final Map<String, Long> renewedAtNs = new HashMap<>();
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

  long beat(String dataCentre) {
    return summary(dataCentre).map(DataCentreSummary::beat).orElse(0L);
  }

  /** Time since the newest summary; counts from the first call where there is none. */
  long silenceNs(String dataCentre) {
    long now = ticker.read();
    return now - renewedAtNs.computeIfAbsent(dataCentre, d -> now);
  }

  /** Publishes a summary of this entry's own data centre. */
  void publish(DataCentreSummary summary) {
    learn(summary, Optional.empty());
  }

  private void learn(DataCentreSummary summary, Optional<String> fromPeer) {
    if (summary.beat() <= beat(summary.dataCentre())) {
      return;
    }
    table.put(summary.dataCentre(), summary, fromPeer);
    renewedAtNs.put(summary.dataCentre(), ticker.read());
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
    codec.decode(body, Body.class).changed().forEach(s -> learn(s, Optional.of(link.peerId())));
  }

  @Override
  public void confirmed(GossipLink link) {
    table.confirmed(link);
  }

  @Override
  public void dropped(GossipLink link) {
    table.dropped(link);
  }

  /** The section as it travels. Immutable. */
  private record Body(List<DataCentreSummary> changed) {}
}

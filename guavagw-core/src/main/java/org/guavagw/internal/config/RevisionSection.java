package org.guavagw.internal.config;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.guavagw.internal.membership.GossipLink;
import org.guavagw.internal.membership.GossipSection;
import org.guavagw.internal.peer.PeerCodec;

/**
 * Sends this entry's revision, and the age of its confirmation, with every heartbeat. Confined to
 * the control thread.
 */
final class RevisionSection implements GossipSection {
  private static final int CODE = 3;
  private static final long AGE_UNIT_MS = 100;

  private final PeerCodec codec = new PeerCodec();
  private final ConfigSource source;
  private final ConfirmationTracker confirmations;
  private final BiConsumer<String, Long> onPeerRevision;

  RevisionSection(
      ConfigSource source,
      ConfirmationTracker confirmations,
      BiConsumer<String, Long> onPeerRevision) {
    this.source = source;
    this.confirmations = confirmations;
    this.onPeerRevision = onPeerRevision;
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
    long age = confirmations.confirmedAge().toMillis() / AGE_UNIT_MS + 1;
    return Optional.of(codec.encode(new Body(source.current().revision(), age)));
  }

  @Override
  public void receive(GossipLink link, byte[] content) {
    Body body = codec.decode(content, Body.class);
    onPeerRevision.accept(link.peerId(), body.revision());
    if (body.revision() <= source.current().revision()) {
      confirmations.onConfirmed(ageOf(body));
    }
  }

  private static Duration ageOf(Body body) {
    return Duration.ofMillis(body.confirmedAgeUnits() * AGE_UNIT_MS);
  }

  @Override
  public void onConfirmed(GossipLink link) {
    // sent with every heartbeat
  }

  @Override
  public void onLinkReset(GossipLink link) {
    // sent with every heartbeat
  }

  /** The encoded form of the section. Immutable. */
  private record Body(long revision, long confirmedAgeUnits) {}
}

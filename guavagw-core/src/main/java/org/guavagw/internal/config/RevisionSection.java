package org.guavagw.internal.config;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.guavagw.internal.membership.GossipLink;
import org.guavagw.internal.membership.GossipSection;
import org.guavagw.internal.peer.PeerCodec;

/**
 * Puts the held revision, and the age of its confirmation, into every heartbeat. Confined to the
 * control thread.
 */
final class RevisionSection implements GossipSection {
  private static final int CODE = 3;
  private static final long AGE_UNIT_MS = 100;

  private final PeerCodec codec = new PeerCodec();
  private final ConfigSource source;
  private final ConfirmationClock clock;
  private final BiConsumer<String, Long> heard;

  RevisionSection(ConfigSource source, ConfirmationClock clock, BiConsumer<String, Long> heard) {
    this.source = source;
    this.clock = clock;
    this.heard = heard;
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
    long age = clock.confirmedAge().toMillis() / AGE_UNIT_MS + 1;
    return Optional.of(codec.encode(new Body(source.current().revision(), age)));
  }

  @Override
  public void receive(GossipLink link, byte[] content) {
    Body body = codec.decode(content, Body.class);
    heard.accept(link.peerId(), body.revision());
    if (body.revision() <= source.current().revision()) {
      clock.confirmed(ageOf(body));
    }
  }

  private static Duration ageOf(Body body) {
    return Duration.ofMillis(body.confirmedAgeUnits() * AGE_UNIT_MS);
  }

  @Override
  public void confirmed(GossipLink link) {
    // sent with every heartbeat
  }

  @Override
  public void dropped(GossipLink link) {
    // sent with every heartbeat
  }

  /** The section as it travels. Immutable. */
  private record Body(long revision, long confirmedAgeUnits) {}
}

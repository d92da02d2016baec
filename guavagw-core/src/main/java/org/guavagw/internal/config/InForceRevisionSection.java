package org.guavagw.internal.config;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.guavagw.internal.membership.DataCentreSummary;
import org.guavagw.internal.membership.GossipLink;
import org.guavagw.internal.membership.GossipSection;
import org.guavagw.internal.membership.GossipTable;
import org.guavagw.internal.membership.Member;
import org.guavagw.internal.membership.MemberState;
import org.guavagw.internal.peer.PeerCodec;

/**
 * Gossips within a data centre which revision is in force at each entry, with hashes instead of
 * ids. Confined to the control thread.
 *
 * <p>Invariant: the revision of an entry never decreases while the entry runs.
 */
final class InForceRevisionSection implements GossipSection {
  private static final int CODE = 4;
  private static final int MAX_NAMED_BEHIND = 8;

  private final PeerCodec codec = new PeerCodec();
  private final GossipTable<Integer, EntryRevision> table = new GossipTable<>();

  /** Sets the revision that is in force at this entry. */
  void setRevision(String memberId, long revision) {
    applyIfNewer(new EntryRevision(hash(memberId), revision), Optional.empty());
  }

  private void applyIfNewer(EntryRevision next, Optional<String> fromPeer) {
    Optional<EntryRevision> known = table.get(next.entryHash());
    if (known.isEmpty() || known.get().revision() < next.revision()) {
      table.put(next.entryHash(), next, fromPeer);
    }
  }

  /** Returns a summary of the members of a data centre that are not leaving. */
  DataCentreSummary summarize(String dataCentre, long beat, List<Member> members) {
    List<Member> counted = members.stream().filter(m -> m.state() != MemberState.LEAVING).toList();
    long highest = counted.stream().mapToLong(this::revision).max().orElse(0);
    long lowest = counted.stream().mapToLong(this::revision).min().orElse(0);
    List<String> behind =
        counted.stream()
            .filter(m -> revision(m) < highest)
            .map(Member::id)
            .limit(MAX_NAMED_BEHIND)
            .toList();
    return new DataCentreSummary(dataCentre, beat, counted.size(), lowest, behind);
  }

  private long revision(Member member) {
    return table.get(hash(member.id())).map(EntryRevision::revision).orElse(0L);
  }

  private static int hash(String memberId) {
    return Hashing.murmur3_32_fixed().hashString(memberId, StandardCharsets.UTF_8).asInt();
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
    List<EntryRevision> changed = table.collect(link);
    return changed.isEmpty() ? Optional.empty() : Optional.of(codec.encode(new Body(changed)));
  }

  @Override
  public void receive(GossipLink link, byte[] content) {
    Body body = codec.decode(content, Body.class);
    body.changed().forEach(r -> applyIfNewer(r, Optional.of(link.peerId())));
  }

  @Override
  public void onConfirmed(GossipLink link) {
    table.markConfirmed(link);
  }

  @Override
  public void onLinkReset(GossipLink link) {
    table.reset(link);
  }

  /** The revision in force at one entry. Immutable. */
  private record EntryRevision(int entryHash, long revision) {}

  /** The encoded form of the section. Immutable. */
  private record Body(List<EntryRevision> changed) {}
}

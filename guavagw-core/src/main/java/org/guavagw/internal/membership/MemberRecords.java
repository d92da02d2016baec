package org.guavagw.internal.membership;

import java.util.List;
import java.util.Optional;

/**
 * The newest record of each member. Confined to the control thread.
 *
 * <p>Invariants: a record is replaced only by one that supersedes it; a false claim of others about
 * this entry is refuted with a record of a higher version.
 */
final class MemberRecords {
  private final GossipTable<String, MemberRecord> table = new GossipTable<>();
  private final Runnable onChange;
  private MemberRecord self;
  private long digest;

  MemberRecords(MemberRecord self, Runnable onChange) {
    this.self = self;
    this.onChange = onChange;
    set(self, Optional.empty());
  }

  GossipTable<String, MemberRecord> table() {
    return table;
  }

  MemberRecord self() {
    return self;
  }

  long digest() {
    return digest;
  }

  /** Returns the records of members that are not gone. */
  List<MemberRecord> present() {
    return table.values().stream().filter(r -> !r.gone()).toList();
  }

  /** Sets and publishes the state of this entry. */
  void announce(MemberState state) {
    self = self.withVersion(self.version() + 1, state);
    set(self, Optional.empty());
    onChange.run();
  }

  /**
   * Applies a record if it supersedes the known one.
   *
   * @param fromPeer the peer that sent the record; empty if this entry made it
   */
  void applyIfNewer(MemberRecord record, Optional<String> fromPeer) {
    Optional<MemberRecord> known = table.get(record.id());
    if (known.isPresent() && !record.supersedes(known.get())) {
      return;
    }
    if (record.id().equals(self.id())) {
      refute(record);
      return;
    }
    set(record, fromPeer);
    onChange.run();
  }

  private void refute(MemberRecord claim) {
    if (claim.incarnation() > self.incarnation()) {
      return;
    }
    boolean leaving = claim.state() == MemberState.LEAVING && !claim.gone();
    MemberState state = leaving ? MemberState.LEAVING : self.state();
    self = self.withVersion(claim.version() + 1, state);
    set(self, Optional.empty());
    onChange.run();
  }

  private void set(MemberRecord record, Optional<String> fromPeer) {
    table.get(record.id()).ifPresent(r -> digest -= digestOf(r));
    table.put(record.id(), record, fromPeer);
    digest += digestOf(record);
  }

  private static long digestOf(MemberRecord record) {
    return record.gone() ? 0 : record.digest();
  }
}

package org.guavagw.internal.membership;

import java.util.List;
import java.util.Optional;

/**
 * The newest record of each member. Confined to the control thread.
 *
 * <p>Invariants: a record is replaced only by one that supersedes it; what others say of this entry
 * is answered with a higher version as long as it is not so.
 */
final class MemberRecords {
  private final DeltaTable<String, MemberRecord> table = new DeltaTable<>();
  private final Runnable changed;
  private MemberRecord self;
  private long digest;

  MemberRecords(MemberRecord self, Runnable changed) {
    this.self = self;
    this.changed = changed;
    set(self, Optional.empty());
  }

  DeltaTable<String, MemberRecord> table() {
    return table;
  }

  MemberRecord self() {
    return self;
  }

  long digest() {
    return digest;
  }

  /** Records of members that are not gone. */
  List<MemberRecord> present() {
    return table.values().stream().filter(r -> !r.gone()).toList();
  }

  /** Sets this entry's own state. */
  void announce(MemberState state) {
    self = self.withVersion(self.version() + 1, state);
    set(self, Optional.empty());
    changed.run();
  }

  /** Takes a record that a peer told or that this entry found out. */
  void learn(MemberRecord record, Optional<String> fromPeer) {
    Optional<MemberRecord> known = table.get(record.id());
    if (known.isPresent() && !record.supersedes(known.get())) {
      return;
    }
    if (record.id().equals(self.id())) {
      refute(record);
      return;
    }
    set(record, fromPeer);
    changed.run();
  }

  private void refute(MemberRecord claim) {
    if (claim.incarnation() > self.incarnation()) {
      return;
    }
    boolean leaving = claim.state() == MemberState.LEAVING && !claim.gone();
    MemberState state = leaving ? MemberState.LEAVING : self.state();
    self = self.withVersion(claim.version() + 1, state);
    set(self, Optional.empty());
    changed.run();
  }

  private void set(MemberRecord record, Optional<String> fromPeer) {
    table.get(record.id()).ifPresent(r -> digest -= contribution(r));
    table.put(record.id(), record, fromPeer);
    digest += contribution(record);
  }

  private static long contribution(MemberRecord record) {
    return record.gone() ? 0 : record.digest();
  }
}

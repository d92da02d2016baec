package org.guavagw.internal.membership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * What entries gossip about a member. Immutable.
 *
 * <p>Invariant: records of one member are totally ordered by {@link #supersedes}, so entries that
 * received the same records agree, in whatever order these arrived. Only the member itself raises
 * the version.
 *
 * @param gone whether the member was removed after it left the platform's list
 */
record MemberRecord(
    String id,
    String dataCentre,
    String host,
    int controlPort,
    long incarnation,
    long version,
    MemberState state,
    boolean gone) {

  boolean supersedes(MemberRecord other) {
    if (incarnation != other.incarnation) {
      return incarnation > other.incarnation;
    }
    if (version != other.version) {
      return version > other.version;
    }
    return rank() > other.rank();
  }

  private int rank() {
    int stateRank =
        switch (state) {
          case ALIVE -> 0;
          case SUSPECT -> 1;
          case LEAVING -> 2;
        };
    return gone ? stateRank + 3 : stateRank;
  }

  MemberRecord withState(MemberState next) {
    return new MemberRecord(id, dataCentre, host, controlPort, incarnation, version, next, gone);
  }

  MemberRecord withVersion(long next, MemberState nextState) {
    return new MemberRecord(id, dataCentre, host, controlPort, incarnation, next, nextState, false);
  }

  MemberRecord asGone() {
    return new MemberRecord(id, dataCentre, host, controlPort, incarnation, version, state, true);
  }

  Member toMember(boolean dataCentreUnresponsive) {
    boolean suspect = dataCentreUnresponsive && state == MemberState.ALIVE;
    MemberState shown = suspect ? MemberState.SUSPECT : state;
    return new Member(id, dataCentre, host, controlPort, incarnation, shown);
  }

  /** Returns a hash of the record; the sum of the hashes is the digest of a table. */
  long digest() {
    return Hashing.murmur3_128()
        .newHasher()
        .putString(id, StandardCharsets.UTF_8)
        .putLong(incarnation)
        .putLong(version)
        .putInt(rank())
        .hash()
        .asLong();
  }
}

package org.guavagw.internal.load;

import java.util.List;

/** The part of a load report that seldom changes, ordered by sequence number. Immutable. */
record ServerIdentity(
    int serverHash,
    long sequence,
    String bootId,
    int slots,
    String role,
    List<String> versions,
    List<String> adapters) {

  boolean sameContent(ServerIdentity other) {
    return bootId.equals(other.bootId)
        && slots == other.slots
        && role.equals(other.role)
        && versions.equals(other.versions)
        && adapters.equals(other.adapters);
  }
}

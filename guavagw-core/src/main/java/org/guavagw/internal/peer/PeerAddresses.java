package org.guavagw.internal.peer;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** Addresses of members by id, kept by the membership. Thread-safe. */
public final class PeerAddresses {
  private final Map<String, PeerAddress> addresses = new ConcurrentHashMap<>();

  /** Records where a member listens now. */
  public void put(String memberId, PeerAddress address) {
    addresses.put(memberId, address);
  }

  /** Forgets a member. */
  public void remove(String memberId) {
    addresses.remove(memberId);
  }

  /** Where a member listens, if known. */
  public Optional<PeerAddress> find(String memberId) {
    return Optional.ofNullable(addresses.get(memberId));
  }
}

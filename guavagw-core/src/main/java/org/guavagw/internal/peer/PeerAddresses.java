package org.guavagw.internal.peer;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** The addresses of members by id; the membership keeps them up to date. Thread-safe. */
public final class PeerAddresses {
  private final Map<String, PeerAddress> addresses = new ConcurrentHashMap<>();

  /** Sets the address of a member. */
  public void put(String memberId, PeerAddress address) {
    addresses.put(memberId, address);
  }

  /** Removes the address of a member. */
  public void remove(String memberId) {
    addresses.remove(memberId);
  }

  /** Returns the address of a member, if known. */
  public Optional<PeerAddress> find(String memberId) {
    return Optional.ofNullable(addresses.get(memberId));
  }
}

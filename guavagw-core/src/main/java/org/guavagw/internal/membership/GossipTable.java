package org.guavagw.internal.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Newest values by key, with a record of which changes each link has confirmed. Changed on the
 * control thread only; {@link #get} and {@link #values} may be called from any thread.
 *
 * <p>Invariant: a value is collected for a link until the link confirms it, unless it came from
 * that peer. Only the newest value of a key is sent.
 */
public final class GossipTable<K, V> {
  private final Map<K, Change<V>> changes = new ConcurrentHashMap<>();
  private final Map<GossipLink, Progress> progressByLink = new HashMap<>();
  private long newest;

  /**
   * Sets a value.
   *
   * @param fromPeer the peer that sent the value; empty if this entry produced it
   */
  public void put(K key, V value, Optional<String> fromPeer) {
    newest++;
    changes.put(key, new Change<>(newest, value, fromPeer));
  }

  /** Removes a key. */
  public void remove(K key) {
    changes.remove(key);
  }

  /** Returns the newest value of a key. */
  public Optional<V> get(K key) {
    return Optional.ofNullable(changes.get(key)).map(Change::value);
  }

  /** Returns the newest values of all keys. */
  public List<V> values() {
    return changes.values().stream().map(Change::value).toList();
  }

  /** Returns the values that the link has not confirmed, and marks them as sent. */
  public List<V> collect(GossipLink link) {
    Progress progress = progressByLink.computeIfAbsent(link, l -> new Progress());
    long confirmed = progress.confirmed;
    progress.sent = newest;
    if (confirmed == newest) {
      return List.of();
    }
    Optional<String> peer = Optional.of(link.peerId());
    return changes.values().stream()
        .filter(c -> c.number() > confirmed && !c.fromPeer().equals(peer))
        .map(Change::value)
        .toList();
  }

  /** Marks everything that was collected for the link as confirmed. */
  public void markConfirmed(GossipLink link) {
    Progress progress = progressByLink.get(link);
    if (progress != null) {
      progress.confirmed = progress.sent;
    }
  }

  /** Returns the number of the newest change. */
  public long newestChange() {
    return newest;
  }

  /** Marks changes up to a number as confirmed by the link. */
  public void markConfirmedUpTo(GossipLink link, long upTo) {
    Progress progress = progressByLink.computeIfAbsent(link, l -> new Progress());
    progress.sent = upTo;
    progress.confirmed = upTo;
  }

  /** Forgets what the link has confirmed, so that all values are collected for it again. */
  public void reset(GossipLink link) {
    progressByLink.remove(link);
  }

  /** A value, the number of its change, and the peer that sent it. Immutable. */
  private record Change<V>(long number, V value, Optional<String> fromPeer) {}

  /**
   * The newest changes that were sent to and confirmed by a link. Confined to the control thread.
   */
  private static final class Progress {
    private long sent;
    private long confirmed;
  }
}

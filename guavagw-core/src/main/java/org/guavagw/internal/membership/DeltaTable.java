package org.guavagw.internal.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Newest values by key, with what each link has confirmed of them. Changes belong to the control
 * thread; {@link #get} and {@link #values} may be called from any.
 *
 * <p>Invariant: a value is collected for a link as long as the link has not confirmed it, unless it
 * came from that very peer. Values that were replaced in between are not sent.
 */
public final class DeltaTable<K, V> {
  private final Map<K, Change<V>> changes = new ConcurrentHashMap<>();
  private final Map<GossipLink, Progress> links = new HashMap<>();
  private long newest;

  /** Sets a value that this entry found out itself or learnt from a peer. */
  public void put(K key, V value, Optional<String> fromPeer) {
    newest++;
    changes.put(key, new Change<>(newest, value, fromPeer));
  }

  /** Forgets a key. */
  public void remove(K key) {
    changes.remove(key);
  }

  /** The newest value of a key. */
  public Optional<V> get(K key) {
    return Optional.ofNullable(changes.get(key)).map(Change::value);
  }

  /** All newest values. */
  public List<V> values() {
    return changes.values().stream().map(Change::value).toList();
  }

  /** Values that the link has not confirmed; they count as sent from now on. */
  public List<V> collect(GossipLink link) {
    Progress progress = links.computeIfAbsent(link, l -> new Progress());
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

  /** The link has everything that was collected for it. */
  public void confirmed(GossipLink link) {
    Progress progress = links.get(link);
    if (progress != null) {
      progress.confirmed = progress.sent;
    }
  }

  /** Number of the newest change. */
  public long newest() {
    return newest;
  }

  /** Treats changes up to a number as known at the other end. */
  public void skip(GossipLink link, long upTo) {
    Progress progress = links.computeIfAbsent(link, l -> new Progress());
    progress.sent = upTo;
    progress.confirmed = upTo;
  }

  /** The other end may know nothing. */
  public void dropped(GossipLink link) {
    links.remove(link);
  }

  /** A value, the number of its change, and the peer that told it. Immutable. */
  private record Change<V>(long number, V value, Optional<String> fromPeer) {}

  /** How far a link has got. Confined to the control thread. */
  private static final class Progress {
    private long sent;
    private long confirmed;
  }
}

package org.guavagw.internal.peer;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The types of message that an entry understands. Packages register theirs before the network
 * starts; a frame of a type that is not registered is counted and dropped. Thread-safe.
 */
public final class PeerMessageRegistry {
  private final Map<String, PeerMessageType<?>> byName = new ConcurrentHashMap<>();
  private final Map<Class<?>, PeerMessageType<?>> byClass = new ConcurrentHashMap<>();

  /** Adds types; a name or a record may be registered once. */
  public void register(List<PeerMessageType<?>> types) {
    types.forEach(this::register);
  }

  /** Adds a type; a name or a record may be registered once. */
  public void register(PeerMessageType<?> type) {
    if (byName.putIfAbsent(type.name(), type) != null) {
      throw new IllegalArgumentException("message name is taken: " + type.name());
    }
    if (byClass.putIfAbsent(type.messageClass(), type) != null) {
      throw new IllegalArgumentException("message is registered: " + type.messageClass());
    }
  }

  Optional<PeerMessageType<?>> named(String name) {
    return Optional.ofNullable(byName.get(name));
  }

  PeerMessageType<?> of(PeerMessage message) {
    PeerMessageType<?> type = byClass.get(message.getClass());
    if (type == null) {
      throw new IllegalArgumentException("message is not registered: " + message.getClass());
    }
    return type;
  }
}

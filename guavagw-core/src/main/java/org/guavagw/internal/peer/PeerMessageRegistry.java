package org.guavagw.internal.peer;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The message types that an entry can read and write. Packages register their types before the
 * network starts; a frame of an unregistered type is counted and dropped. Thread-safe.
 */
public final class PeerMessageRegistry {
  private final Map<String, PeerMessageType<?>> byName = new ConcurrentHashMap<>();
  private final Map<Class<?>, PeerMessageType<?>> byClass = new ConcurrentHashMap<>();

  /** Registers types; each name and each record class can be registered only once. */
  public void register(List<PeerMessageType<?>> types) {
    types.forEach(this::register);
  }

  /** Registers a type; each name and each record class can be registered only once. */
  public void register(PeerMessageType<?> type) {
    if (byName.putIfAbsent(type.name(), type) != null) {
      throw new IllegalArgumentException("message name is already registered: " + type.name());
    }
    if (byClass.putIfAbsent(type.messageClass(), type) != null) {
      throw new IllegalArgumentException(
          "message class is already registered: " + type.messageClass());
    }
  }

  Optional<PeerMessageType<?>> findByName(String name) {
    return Optional.ofNullable(byName.get(name));
  }

  PeerMessageType<?> typeOf(PeerMessage message) {
    PeerMessageType<?> type = byClass.get(message.getClass());
    if (type == null) {
      throw new IllegalArgumentException("message class is not registered: " + message.getClass());
    }
    return type;
  }
}

package org.guavagw.standins.platform;

import io.vavr.control.Either;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;
import org.guavagw.platform.ObjectStore;
import org.guavagw.platform.PlatformFailure;

/** An object store in memory that never fails. Thread-safe. */
public final class InMemoryObjectStore implements ObjectStore {
  private final NavigableMap<String, byte[]> objects = new ConcurrentSkipListMap<>();

  @Override
  public Either<PlatformFailure, Void> put(String name, byte[] content) {
    objects.put(name, content.clone());
    return Either.right(null);
  }

  @Override
  public Either<PlatformFailure, Optional<byte[]>> get(String name) {
    return Either.right(Optional.ofNullable(objects.get(name)).map(byte[]::clone));
  }

  @Override
  public Either<PlatformFailure, List<String>> list(String prefix) {
    return Either.right(
        objects.tailMap(prefix).keySet().stream().takeWhile(n -> n.startsWith(prefix)).toList());
  }
}

package org.guavagw.internal.durable;

import io.vavr.control.Either;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;
import org.guavagw.platform.ObjectStore;
import org.guavagw.platform.PlatformFailure;

/** An object store in memory that can simulate an outage. Thread-safe. */
public final class MapObjectStore implements ObjectStore {
  private final NavigableMap<String, byte[]> objects = new ConcurrentSkipListMap<>();
  private volatile boolean down;

  public void down(boolean isDown) {
    down = isDown;
  }

  public int size() {
    return objects.size();
  }

  public long bytes() {
    return objects.values().stream().mapToLong(b -> b.length).sum();
  }

  @Override
  public Either<PlatformFailure, Void> put(String name, byte[] content) {
    if (down) {
      return Either.left(PlatformFailure.notApplied("down"));
    }
    objects.put(name, content.clone());
    return Either.right(null);
  }

  @Override
  public Either<PlatformFailure, Optional<byte[]>> get(String name) {
    if (down) {
      return Either.left(PlatformFailure.notApplied("down"));
    }
    return Either.right(Optional.ofNullable(objects.get(name)));
  }

  @Override
  public Either<PlatformFailure, List<String>> list(String prefix) {
    if (down) {
      return Either.left(PlatformFailure.notApplied("down"));
    }
    return Either.right(
        objects.tailMap(prefix).keySet().stream().filter(n -> n.startsWith(prefix)).toList());
  }
}

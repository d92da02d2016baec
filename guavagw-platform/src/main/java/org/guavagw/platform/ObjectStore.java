package org.guavagw.platform;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;

/** The platform's object store. Implementations are thread-safe; calls block. */
public interface ObjectStore {
  /** Writes an object; the last writer wins. */
  Either<PlatformFailure, Void> put(String name, byte[] content);

  /** Reads an object. */
  Either<PlatformFailure, Optional<byte[]>> get(String name);

  /** Returns the names of objects that start with a prefix, in order. */
  Either<PlatformFailure, List<String>> list(String prefix);
}

package org.guavagw.standins.platform;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.guavagw.platform.ObjectStore;
import org.guavagw.platform.PlatformFailure;
import org.guavagw.standins.fault.CallFaultInjector;

/** An object store with injected faults. Thread-safe. */
public final class FaultyObjectStore implements ObjectStore {
  private final ObjectStore delegate;
  private final CallFaultInjector faults;

  /** Wraps a store; {@code seed} is the seed of random faults. */
  public FaultyObjectStore(ObjectStore delegate, long seed) {
    this.delegate = delegate;
    this.faults = new CallFaultInjector(seed);
  }

  /** Returns the faults, which can be set. */
  public CallFaultInjector faults() {
    return faults;
  }

  @Override
  public Either<PlatformFailure, Void> put(String name, byte[] content) {
    return faults.call(() -> delegate.put(name, content));
  }

  @Override
  public Either<PlatformFailure, Optional<byte[]>> get(String name) {
    return faults.call(() -> delegate.get(name));
  }

  @Override
  public Either<PlatformFailure, List<String>> list(String prefix) {
    return faults.call(() -> delegate.list(prefix));
  }
}

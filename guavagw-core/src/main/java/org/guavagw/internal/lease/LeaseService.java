package org.guavagw.internal.lease;

import io.vavr.control.Either;
import java.util.Optional;

/** Acquires and releases leases on names. Thread-safe; calls may block on the table service. */
public interface LeaseService extends AutoCloseable {
  /** Acquires or renews the lease on a name. */
  Either<LeaseFailure, Lease> acquire(String name);

  /** Returns the lease that this process holds on a name, if it is safe now. Never blocks. */
  Optional<Lease> held(String name);

  /** Releases a lease, so that another process need not wait until it expires. */
  void release(String name);

  /** Releases all leases. */
  @Override
  void close();
}

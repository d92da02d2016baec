package org.guavagw.internal.lease;

import io.vavr.control.Either;
import java.util.Optional;

/** Gives out leases on names. Thread-safe; calls may block on the table service. */
public interface LeaseService extends AutoCloseable {
  /** Acquires or renews the lease on a name. */
  Either<LeaseFailure, Lease> acquire(String name);

  /** The lease that this process holds on a name, if it is safe now; never blocks. */
  Optional<Lease> held(String name);

  /** Gives up a lease so that another process need not wait until it lapses. */
  void release(String name);

  /** Gives up every lease. */
  @Override
  void close();
}

package org.guavagw.internal.lifecycle;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Gathers resources and closes them in reverse order of registration.
 *
 * <p>A resource that fails to close does not keep the others open. Thread-safe; closing twice is
 * harmless.
 */
public final class Closer implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Deque<AutoCloseable> resources = new ArrayDeque<>();

  /** Takes charge of a resource and gives it back. */
  public synchronized <T extends AutoCloseable> T register(T resource) {
    resources.push(resource);
    return resource;
  }

  @Override
  public synchronized void close() {
    while (!resources.isEmpty()) {
      closeQuietly(resources.pop());
    }
  }

  private static void closeQuietly(AutoCloseable resource) {
    try {
      resource.close();
    } catch (Exception e) {
      logger.atWarning().withCause(e).log("could not close %s", resource.getClass().getName());
    }
  }
}

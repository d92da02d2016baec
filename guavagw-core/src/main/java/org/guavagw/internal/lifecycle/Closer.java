package org.guavagw.internal.lifecycle;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Closes registered resources in reverse order of registration.
 *
 * <p>If closing a resource fails, the remaining resources are still closed. Thread-safe; closing
 * twice has no further effect.
 */
public final class Closer implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Deque<AutoCloseable> resources = new ArrayDeque<>();

  /** Registers a resource to be closed and returns it. */
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
      logger.atWarning().withCause(e).log("failed to close %s", resource.getClass().getName());
    }
  }
}

package org.guavagw;

import org.guavagw.internal.entry.RunningEntry;
import org.guavagw.platform.Platform;

/**
 * A running entry of the router, which accepts requests of callers and forwards them to backend
 * servers.
 *
 * <pre>{@code
 * try (Entry entry = Entry.start(settings, platform)) {
 *   entry.shutDown();
 * }
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class Entry implements AutoCloseable {
  private final RunningEntry running;

  private Entry(RunningEntry running) {
    this.running = running;
  }

  /** Starts an entry; it becomes ready when it has received a configuration. */
  public static Entry start(EntrySettings settings, Platform platform) {
    return new Entry(RunningEntry.start(settings, platform));
  }

  /** Returns the port for callers. */
  public int callerPort() {
    return running.callerPort();
  }

  /** Returns the port of the operators' API. */
  public int adminPort() {
    return running.adminPort();
  }

  /** Returns the port for other entries. */
  public int controlPort() {
    return running.controlPort();
  }

  /** Returns the configuration revision that the entry currently applies. */
  public long revision() {
    return running.revision();
  }

  /** Returns whether the entry accepts requests from the load balancer. */
  public boolean isReady() {
    return running.isReady();
  }

  /** Drains and stops the entry; returns whether all requests ended within the shutdown limit. */
  public boolean shutDown() {
    return running.shutDown();
  }

  /** Stops immediately and aborts in-flight requests. */
  @Override
  public void close() {
    running.close();
  }
}

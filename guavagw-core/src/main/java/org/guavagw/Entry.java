package org.guavagw;

import org.guavagw.internal.entry.RunningEntry;
import org.guavagw.platform.Platform;

/**
 * One entry of the router: it takes requests from callers and sends them to backend servers.
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

  /** Starts an entry; it is ready once it has learnt a configuration. */
  public static Entry start(EntrySettings settings, Platform platform) {
    return new Entry(RunningEntry.start(settings, platform));
  }

  /** Port for callers. */
  public int callerPort() {
    return running.callerPort();
  }

  /** Port for operators. */
  public int adminPort() {
    return running.adminPort();
  }

  /** Port for other entries. */
  public int controlPort() {
    return running.controlPort();
  }

  /** Newest configuration revision that the entry has in force. */
  public long revision() {
    return running.revision();
  }

  /** Whether the entry wants requests from the balancer. */
  public boolean isReady() {
    return running.isReady();
  }

  /** Leaves without cutting a request, and says whether all ended within the limit. */
  public boolean shutDown() {
    return running.shutDown();
  }

  /** Stops at once; requests under way are cut. */
  @Override
  public void close() {
    running.close();
  }
}

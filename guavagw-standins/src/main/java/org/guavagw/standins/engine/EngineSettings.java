package org.guavagw.standins.engine;

import java.time.Duration;
import java.util.List;
import org.guavagw.config.VersionRef;

/**
 * Fixed properties of one engine stand-in. Immutable.
 *
 * @param name name of the backend server in the execution log
 * @param versions versions loaded at the start
 * @param checksFencing whether orders with an old fencing number are refused
 * @param loadLag age of the load reports that the engine returns
 * @param ioThreads number of event loop threads
 */
public record EngineSettings(
    String name,
    List<VersionRef> versions,
    BatchSettings batch,
    ColdStartSettings coldStart,
    PrefixCacheSettings prefixCache,
    boolean checksFencing,
    Duration loadLag,
    int ioThreads) {
  public EngineSettings {
    versions = List.copyOf(versions);
  }

  /** Returns settings of a warm engine with 16 slots and short delays. */
  public static EngineSettings of(String name, VersionRef... versions) {
    return new EngineSettings(
        name,
        List.of(versions),
        BatchSettings.withShortDelays(),
        ColdStartSettings.warm(),
        PrefixCacheSettings.small(),
        true,
        Duration.ZERO,
        1);
  }

  /** Returns settings of an engine without delays and with many slots, for benchmarks. */
  public static EngineSettings fast(String name, VersionRef... versions) {
    return of(name, versions).withBatch(BatchSettings.withoutDelays());
  }

  /** Returns a copy with another batch. */
  public EngineSettings withBatch(BatchSettings b) {
    return new EngineSettings(
        name, versions, b, coldStart, prefixCache, checksFencing, loadLag, ioThreads);
  }

  /** Returns a copy with another cold start. */
  public EngineSettings withColdStart(ColdStartSettings c) {
    return new EngineSettings(
        name, versions, batch, c, prefixCache, checksFencing, loadLag, ioThreads);
  }

  /** Returns a copy with another prefix cache. */
  public EngineSettings withPrefixCache(PrefixCacheSettings p) {
    return new EngineSettings(
        name, versions, batch, coldStart, p, checksFencing, loadLag, ioThreads);
  }

  /** Returns a copy that executes orders with an old fencing number. */
  public EngineSettings ignoringFencing() {
    return new EngineSettings(
        name, versions, batch, coldStart, prefixCache, false, loadLag, ioThreads);
  }

  /** Returns a copy with another age of load reports. */
  public EngineSettings withLoadLag(Duration lag) {
    return new EngineSettings(
        name, versions, batch, coldStart, prefixCache, checksFencing, lag, ioThreads);
  }

  /** Returns a copy with another number of event loop threads. */
  public EngineSettings withIoThreads(int threads) {
    return new EngineSettings(
        name, versions, batch, coldStart, prefixCache, checksFencing, loadLag, threads);
  }
}

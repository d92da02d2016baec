package org.guavagw.standins.engine;

import java.time.Duration;
import java.util.List;
import org.guavagw.config.VersionRef;

/**
 * Fixed properties of one engine stand-in. Immutable.
 *
 * @param name of the backend server, as it appears in the execution log
 * @param versions loaded at start
 * @param checksFencing whether orders with an old fencing number are refused
 * @param loadLag age of the load report that the engine shows
 * @param ioThreads event loop threads
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

  /** A warm engine of 16 slots with short delays. */
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

  /** An engine without delays and with many slots, as the counterpart of a bench. */
  public static EngineSettings fast(String name, VersionRef... versions) {
    return of(name, versions).withBatch(BatchSettings.withoutDelays());
  }

  /** The same with another batch. */
  public EngineSettings withBatch(BatchSettings b) {
    return new EngineSettings(
        name, versions, b, coldStart, prefixCache, checksFencing, loadLag, ioThreads);
  }

  /** The same with another cold start. */
  public EngineSettings withColdStart(ColdStartSettings c) {
    return new EngineSettings(
        name, versions, batch, c, prefixCache, checksFencing, loadLag, ioThreads);
  }

  /** The same with another prefix cache. */
  public EngineSettings withPrefixCache(PrefixCacheSettings p) {
    return new EngineSettings(
        name, versions, batch, coldStart, p, checksFencing, loadLag, ioThreads);
  }

  /** The same, but orders with an old fencing number are obeyed. */
  public EngineSettings ignoringFencing() {
    return new EngineSettings(
        name, versions, batch, coldStart, prefixCache, false, loadLag, ioThreads);
  }

  /** The same with another age of load reports. */
  public EngineSettings withLoadLag(Duration lag) {
    return new EngineSettings(
        name, versions, batch, coldStart, prefixCache, checksFencing, lag, ioThreads);
  }

  /** The same with another number of event loop threads. */
  public EngineSettings withIoThreads(int threads) {
    return new EngineSettings(
        name, versions, batch, coldStart, prefixCache, checksFencing, loadLag, threads);
  }
}

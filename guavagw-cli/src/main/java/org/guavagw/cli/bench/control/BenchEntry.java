package org.guavagw.cli.bench.control;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.guavagw.internal.config.TableConfigHistory;
import org.guavagw.internal.control.ControlPlane;
import org.guavagw.internal.control.ControlSettings;
import org.guavagw.internal.load.LoadSource;
import org.guavagw.internal.membership.GossipSettings;
import org.guavagw.internal.peer.PeerMessageRegistry;
import org.guavagw.internal.peer.PeerSettings;
import org.guavagw.platform.TableService;
import org.guavagw.platform.Vm;
import org.guavagw.platform.VmList;

/** The control plane of one entry with its traffic counters. Thread-safe. */
final class BenchEntry implements AutoCloseable {
  private static final String HOST = "127.0.0.1";

  private final MetricRegistry metrics = new MetricRegistry();
  private final CountingTableService tables;
  private final ControlPlane plane;

  BenchEntry(
      String id, String dataCentre, TableService tables, VmList vmList, LoadSource loadSource) {
    this.tables = new CountingTableService(tables);
    Vm vm = new Vm(id, dataCentre, HOST, 0, false);
    ControlSettings settings =
        new ControlSettings(
            vm,
            System.currentTimeMillis(),
            PeerSettings.of(HOST, 0, "bench"),
            GossipSettings.DEFAULT,
            List.of());
    this.plane =
        new ControlPlane(
            settings,
            vmList,
            new TableConfigHistory(this.tables, InstantSource.system()),
            loadSource,
            (server, events) -> {},
            new PeerMessageRegistry(),
            metrics);
  }

  ControlPlane plane() {
    return plane;
  }

  CountingTableService tables() {
    return tables;
  }

  Vm vm() {
    String id = plane.membership().self().id();
    return new Vm(id, plane.membership().self().dataCentre(), HOST, plane.network().port(), false);
  }

  /** Returns the bytes sent and received so far. */
  long bytes() {
    return metrics.getCounters((name, m) -> name.contains(".bytes.")).values().stream()
        .mapToLong(Counter::getCount)
        .sum();
  }

  /** Returns the bytes and messages so far, by direction and type. */
  Map<String, Long> traffic() {
    Map<String, Long> counts = new TreeMap<>();
    metrics.getCounters().forEach((name, c) -> counts.put(name, c.getCount()));
    return counts;
  }

  @Override
  public void close() {
    plane.close();
  }
}

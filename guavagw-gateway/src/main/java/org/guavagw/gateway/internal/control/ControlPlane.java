package org.guavagw.gateway.internal.control;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.spi.ControlFormat;
import org.guavagw.gateway.spi.ControlStore;
import org.guavagw.internal.time.Clocks;

/** Follows the tables of the store that the gateway is decided by. Thread-safe. */
@SuppressWarnings("FutureReturnValueIgnored")
public final class ControlPlane implements AutoCloseable {
  /** Each answer proves anew that the orders are current, well within the time to revoke a key. */
  private static final Duration ORDERS_WAIT = Duration.ofMillis(1500);

  /** Changes arrive at once; a shorter wait would only cost calls. */
  private static final Duration OTHER_WAIT = Duration.ofSeconds(8);

  /** Backend servers come in groups, which are cheaper to read with one call. */
  private static final Duration MIN_PAUSE = Duration.ofMillis(450);

  /** Each change wakes every entry, so that many entries gather longer. */
  private static final Duration PAUSE_PER_ENTRY = Duration.ofMillis(6);

  /** Well below the time to stop sending to a backend server that leaves. */
  private static final Duration MAX_PAUSE = Duration.ofMillis(800);

  private final ScheduledExecutorService control;
  private final List<TableWatch> watches;

  private final MemberRoll roll;

  /** A control plane that starts on {@link #start}. */
  public ControlPlane(
      ControlStore store,
      ControlFormat format,
      ControlState state,
      MemberRoll roll,
      ScheduledExecutorService control,
      Clocks clocks,
      EventLog log) {
    this.control = control;
    this.roll = roll;
    this.watches =
        List.of(
            new TableWatch(
                format.ordersTable(),
                ORDERS_WAIT,
                () -> Duration.ZERO,
                store,
                state.ordersMirror(),
                control,
                clocks,
                log),
            new TableWatch(
                format.backendsTable(),
                OTHER_WAIT,
                () -> gatheringPause(roll.members().count()),
                store,
                state.backendsMirror(),
                control,
                clocks,
                log),
            new TableWatch(
                format.statusTable(),
                OTHER_WAIT,
                () -> Duration.ZERO,
                store,
                state.statusMirror(),
                control,
                clocks,
                log));
  }

  private static Duration gatheringPause(int entries) {
    Duration pause = MIN_PAUSE.plus(PAUSE_PER_ENTRY.multipliedBy(entries));
    return pause.compareTo(MAX_PAUSE) < 0 ? pause : MAX_PAUSE;
  }

  /** Begins to follow the tables. */
  public void start() {
    control.execute(
        () -> {
          watches.forEach(TableWatch::start);
          roll.start();
        });
  }

  @Override
  public void close() {
    control.execute(() -> watches.forEach(TableWatch::close));
  }
}

package org.guavagw.gateway.internal.control;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * Starts and stops the pollers of all tables.
 *
 * <p>Invariant: where the orders are read first, no other table is read before the store has
 * answered, so that a store that is away costs one call rather than one for each table. Confined to
 * the control thread.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class ControlStorePolling implements StorePolling {
  /**
   * Shortest time before a slow start; the readers have mostly found the store again by then if it
   * was away for a moment.
   */
  private static final Duration MIN_SLOW_START = Duration.ofMillis(500);

  /** Longest time before a slow start, within the time limit for applying a configuration. */
  private static final Duration MAX_SLOW_START = Duration.ofMillis(1500);

  /**
   * Time between the first answer after a slow start and the start of the other tables. The readers
   * have an answer, too, by then, so that following one of them costs no more calls.
   */
  private static final Duration OTHERS_DELAY = Duration.ofMillis(1200);

  private final List<TablePoller> pollers;
  private final TablePoller orders;
  private final TablePoller members;
  private final ScheduledExecutorService control;
  private Mode mode = Mode.IDLE;
  private long generation;

  /**
   * Creates an instance that reads nothing.
   *
   * @param pollers the pollers of all tables
   */
  ControlStorePolling(
      List<TablePoller> pollers,
      TablePoller orders,
      TablePoller members,
      ScheduledExecutorService control) {
    this.pollers = List.copyOf(pollers);
    this.orders = orders;
    this.members = members;
    this.control = control;
  }

  @Override
  public void startMembers() {
    members.start();
  }

  @Override
  public void start() {
    endPatience();
    mode = Mode.ALL;
    generation++;
    pollers.forEach(TablePoller::start);
  }

  @Override
  public void startWithOrders() {
    if (mode == Mode.IDLE || mode == Mode.SLOW_ORDERS) {
      endPatience();
      mode = Mode.ORDERS;
      generation++;
      orders.start();
    }
  }

  /** Lets the orders be read at once where the next retry may be seconds away. */
  private void endPatience() {
    orders.setPatient(false);
    if (mode == Mode.SLOW_ORDERS) {
      orders.retryNow();
    }
  }

  @Override
  public void startSlowly() {
    if (mode == Mode.SLOW_ORDERS || orders.isSucceeding()) {
      return;
    }
    mode = Mode.SLOW_ORDERS;
    orders.setPatient(true);
    after(
        Duration.ofMillis(
            ThreadLocalRandom.current()
                .nextLong(MIN_SLOW_START.toMillis(), MAX_SLOW_START.toMillis())),
        orders::start);
  }

  /** Takes note that the store answered; reads all tables if only the orders were read. */
  void onStoreAnswered() {
    if (!orders.isSucceeding()) {
      return;
    }
    if (mode == Mode.ORDERS) {
      start();
    } else if (mode == Mode.SLOW_ORDERS) {
      mode = Mode.ORDERS_ANSWERED;
      after(OTHERS_DELAY, this::start);
    }
  }

  @Override
  public void stop() {
    mode = Mode.IDLE;
    generation++;
    pollers.forEach(TablePoller::stop);
  }

  /** Runs a task later unless something else was started or all was stopped meanwhile. */
  private void after(Duration delay, Runnable task) {
    long scheduled = ++generation;
    control.schedule(
        () -> {
          if (scheduled == generation) {
            task.run();
          }
        },
        delay.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  /** What is read. */
  private enum Mode {
    /** Nothing, or the members while the entry starts. */
    IDLE,
    /** The orders; the other tables once the store has answered. */
    ORDERS,
    /** The orders, rarely while the store is away. */
    SLOW_ORDERS,
    /** The orders, and soon the other tables. */
    ORDERS_ANSWERED,
    /** All tables. */
    ALL
  }
}

package org.guavagw.standins.engine;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The executions of one or several engines in order of their start. Append-only, except that the
 * end of an execution is filled in. Thread-safe; listeners are called on the thread of the engine
 * and must not block.
 */
public final class ExecutionLog {
  private final List<Execution> executions = new ArrayList<>();
  private final List<Consumer<Execution>> listeners = new CopyOnWriteArrayList<>();
  private final List<BiConsumer<String, String>> overloadListeners = new CopyOnWriteArrayList<>();

  /** Adds a listener that is called at the start and at the end of each execution. */
  public void addListener(Consumer<Execution> listener) {
    listeners.add(listener);
  }

  /** Adds a listener for refusals over cold slots; it gets the backend server and request id. */
  public void addOverloadListener(BiConsumer<String, String> listener) {
    overloadListeners.add(listener);
  }

  /** Returns all executions so far. */
  public synchronized List<Execution> executions() {
    return List.copyOf(executions);
  }

  /** Returns the executions of one request. */
  public List<Execution> executionsOf(String requestId) {
    return executions().stream().filter(e -> e.requestId().equals(requestId)).toList();
  }

  void recordOverload(String server, String requestId) {
    overloadListeners.forEach(l -> l.accept(server, requestId));
  }

  int recordStart(Execution execution) {
    int index;
    synchronized (this) {
      index = executions.size();
      executions.add(execution);
    }
    listeners.forEach(l -> l.accept(execution));
    return index;
  }

  void recordEnd(int index, Instant at, Outcome outcome) {
    Execution ended;
    synchronized (this) {
      ended = executions.get(index).ended(at, outcome);
      executions.set(index, ended);
    }
    listeners.forEach(l -> l.accept(ended));
  }
}

package org.guavagw.standins.service;

import com.google.common.collect.ImmutableMultiset;
import com.google.common.collect.Multiset;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Function;

/** The calls that plain services executed, in order. Append-only and thread-safe. */
public final class ServiceCallLog {
  private final ConcurrentLinkedQueue<ServiceCall> calls = new ConcurrentLinkedQueue<>();
  private final List<Consumer<ServiceCall>> listeners = new CopyOnWriteArrayList<>();

  /** Adds a listener that is called for each execution on the thread of the service. */
  public void addListener(Consumer<ServiceCall> listener) {
    listeners.add(listener);
  }

  /** Returns all executions so far. */
  public List<ServiceCall> calls() {
    return List.copyOf(calls);
  }

  /** Returns the executions counted by idempotency key, for calls that had one. */
  public Multiset<String> byIdempotencyKey() {
    return countBy(ServiceCall::idempotencyKey);
  }

  /** Returns the executions counted by request id, for calls that had one. */
  public Multiset<String> byRequestId() {
    return countBy(ServiceCall::requestId);
  }

  void add(ServiceCall call) {
    calls.add(call);
    listeners.forEach(l -> l.accept(call));
  }

  private Multiset<String> countBy(Function<ServiceCall, Optional<String>> key) {
    return calls.stream()
        .flatMap(c -> key.apply(c).stream())
        .collect(ImmutableMultiset.toImmutableMultiset());
  }
}

package org.guavagw.standins.service;

import com.google.common.collect.ImmutableMultiset;
import com.google.common.collect.Multiset;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Function;

/** Everything that plain services executed, in order. Append-only and thread-safe. */
public final class ServiceCallLog {
  private final ConcurrentLinkedQueue<ServiceCall> calls = new ConcurrentLinkedQueue<>();
  private final List<Consumer<ServiceCall>> listeners = new CopyOnWriteArrayList<>();

  /** Has a listener told of each execution, on the thread of the service. */
  public void addListener(Consumer<ServiceCall> listener) {
    listeners.add(listener);
  }

  /** All executions so far. */
  public List<ServiceCall> calls() {
    return List.copyOf(calls);
  }

  /** Executions by idempotency key, for calls that had one. */
  public Multiset<String> byIdempotencyKey() {
    return count(ServiceCall::idempotencyKey);
  }

  /** Executions by request id, for calls that had one. */
  public Multiset<String> byRequestId() {
    return count(ServiceCall::requestId);
  }

  void add(ServiceCall call) {
    calls.add(call);
    listeners.forEach(l -> l.accept(call));
  }

  private Multiset<String> count(Function<ServiceCall, Optional<String>> key) {
    return calls.stream()
        .flatMap(c -> key.apply(c).stream())
        .collect(ImmutableMultiset.toImmutableMultiset());
  }
}

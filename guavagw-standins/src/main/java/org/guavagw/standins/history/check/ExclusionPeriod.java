package org.guavagw.standins.history.check;

import java.time.Duration;
import java.util.List;
import java.util.function.Function;
import org.guavagw.standins.history.Event;
import org.guavagw.standins.history.Event.ExecutionStarted;
import org.guavagw.standins.history.TimedEvent;

/**
 * Period during which a subject gets no new requests: from the event that excludes it to the next
 * one that readmits it, if any. Immutable.
 */
record ExclusionPeriod<T>(T subject, long fromNanos, long untilNanos) {
  static <T, E extends Event> List<ExclusionPeriod<T>> permanent(
      List<TimedEvent<E>> excluding, Function<E, T> subject) {
    return between(excluding, subject, List.<TimedEvent<E>>of(), subject);
  }

  static <T, E extends Event, R extends Event> List<ExclusionPeriod<T>> between(
      List<TimedEvent<E>> excluding,
      Function<E, T> excluded,
      List<TimedEvent<R>> readmitting,
      Function<R, T> readmitted) {
    return excluding.stream()
        .map(
            e -> {
              T subject = excluded.apply(e.event());
              return new ExclusionPeriod<>(
                  subject, e.nanos(), readmittedAt(e, subject, readmitting, readmitted));
            })
        .toList();
  }

  private static <T, R extends Event> long readmittedAt(
      TimedEvent<?> after, T subject, List<TimedEvent<R>> readmitting, Function<R, T> readmitted) {
    return readmitting.stream()
        .filter(r -> after.isBefore(r) && readmitted.apply(r.event()).equals(subject))
        .mapToLong(TimedEvent::nanos)
        .findFirst()
        .orElse(Long.MAX_VALUE);
  }

  /** Returns whether a request for the subject arrived in this period after a grace window. */
  boolean forbids(T candidate, TimedEvent<ExecutionStarted> execution, Duration window) {
    long arrival = execution.event().arrivalNanos(execution.nanos());
    return subject.equals(candidate)
        && arrival - fromNanos > window.toNanos()
        && arrival < untilNanos;
  }
}

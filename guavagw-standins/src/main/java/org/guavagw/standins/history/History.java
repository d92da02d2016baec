package org.guavagw.standins.history;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import java.util.List;
import java.util.stream.Stream;

/** The events of one run in order. Immutable. */
public final class History {
  private final ImmutableList<TimedEvent<Event>> events;
  private final ImmutableListMultimap<Class<?>, TimedEvent<Event>> byType;

  /** Creates a history of events that are already in order. */
  public History(List<TimedEvent<Event>> events) {
    this.events = ImmutableList.copyOf(events);
    this.byType =
        this.events.stream()
            .collect(
                ImmutableListMultimap.toImmutableListMultimap(t -> t.event().getClass(), t -> t));
  }

  /** Returns all events in order. */
  public List<TimedEvent<Event>> events() {
    return events;
  }

  /** Returns the events of one record type in order. */
  public <E extends Event> List<TimedEvent<E>> of(Class<E> type) {
    return stream(type).toList();
  }

  /** Returns the events of one record type in order. */
  public <E extends Event> Stream<TimedEvent<E>> stream(Class<E> type) {
    return byType.get(type).stream()
        .map(t -> new TimedEvent<>(t.order(), t.nanos(), type.cast(t.event())));
  }

  /** Returns the time of the last event. */
  public long endNanos() {
    return events.isEmpty() ? 0 : events.get(events.size() - 1).nanos();
  }
}

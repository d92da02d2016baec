package org.guavagw.internal.explain;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import org.guavagw.RunState;
import org.guavagw.internal.durable.ManualClocks;
import org.guavagw.internal.durable.MapObjectStore;
import org.junit.jupiter.api.Test;

class DecisionLogTest {
  private static final DecisionLogSettings SETTINGS =
      new DecisionLogSettings(50, 100, 30, Duration.ofSeconds(30));

  private final ManualClocks time = new ManualClocks();
  private final MapObjectStore objects = new MapObjectStore();
  private final RequestIds ids = new RequestIds("high-dam-1.f3", time.clocks().wall());
  private final DecisionLog log = log("high-dam-1.f3");
  private final DecisionLog other = log("luxor-ops-2.a9");

  private DecisionLog log(String entry) {
    return new DecisionLog(entry, objects, time.clocks().wall(), SETTINGS);
  }

  @Test
  void shouldEncodeTimeAndEntryInSortableRequestIds() {
    String first = ids.next();
    Instant made = time.clocks().wall().instant();
    time.advance(Duration.ofMillis(1));
    assertThat(ids.next()).isGreaterThan(first);
    assertThat(RequestIds.entryOf(first)).contains("high-dam-1.f3");
    assertThat(RequestIds.timeOf(first)).contains(made);
    assertThat(RequestIds.entryOf("x")).isEmpty();
  }

  @Test
  void shouldFindRecordOfClosedEntryFromAnotherEntry() {
    DecisionRecord record = record();
    log.append(record);
    assertThat(log.find(record.requestId())).isEqualTo(new LookupResult.Found(record));
    assertThat(other.find(record.requestId())).isInstanceOf(LookupResult.NotYetWritten.class);
    log.close();
    assertThat(other.find(record.requestId())).isEqualTo(new LookupResult.Found(record));
  }

  @Test
  void shouldFindRecordsOfRequestsThatSpanHours() {
    List<DecisionRecord> records = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      records.add(record());
      log.append(records.get(i));
      time.advance(Duration.ofMinutes(7));
    }
    log.close();
    assertThat(records).allMatch(r -> other.find(r.requestId()).equals(new LookupResult.Found(r)));
  }

  @Test
  void shouldReportRecordOfKilledEntryAsLost() {
    DecisionRecord record = record();
    log.append(record);
    time.advance(Duration.ofMinutes(5));
    assertThat(other.find(record.requestId())).isInstanceOf(LookupResult.Lost.class);
  }

  @Test
  void shouldReportRecordsAsLostThatWereDroppedWhileStoreWasUnavailable() {
    objects.down(true);
    DecisionRecord first = record();
    log.append(first);
    time.advance(Duration.ofMillis(5));
    for (int i = 0; i < SETTINGS.unwrittenRecords() + 20; i++) {
      log.append(record());
      log.flush();
    }
    assertThat(log.unwrittenCount()).isEqualTo(SETTINGS.unwrittenRecords());
    assertThat(other.find(first.requestId())).isInstanceOf(LookupResult.StoreUnavailable.class);
    objects.down(false);
    log.close();
    assertThat(other.find(first.requestId()))
        .isEqualTo(
            new LookupResult.Lost(
                "high-dam-1.f3", "dropped while the object store was unavailable"));
  }

  @Test
  void shouldReportIdsThatNoEntryCreatedAsNeverSeen() {
    assertThat(log.find("nonsense")).isInstanceOf(LookupResult.NeverSeen.class);
    String id = ids.next();
    time.jumpWall(Duration.ofDays(-1));
    assertThat(log.find(id)).isInstanceOf(LookupResult.NeverSeen.class);
  }

  private DecisionRecord record() {
    DecisionTrace trace = new DecisionTrace(ids.next(), time.clocks().wall().instant());
    trace.team("release-planning");
    trace.taskClass("inflow-narrative");
    trace.usedRevision(7);
    trace.excluded(CandidateKind.VERSION, "large@3", ExclusionRule.WITHDRAWN);
    trace.chose(CandidateKind.VERSION, "small@2");
    trace.step(new CascadeStepRecord("small", "2", OptionalDouble.of(0.9), 12, true));
    trace.attempt(
        new AttemptRecord("server-4", "small@2", "answered", RunState.RAN, Duration.ofMillis(80)));
    trace.bill(trace.requestId());
    return trace.finish("answered");
  }
}

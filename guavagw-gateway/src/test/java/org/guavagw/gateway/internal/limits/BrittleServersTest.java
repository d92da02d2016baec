package org.guavagw.gateway.internal.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.guavagw.gateway.internal.ManualClock;
import org.guavagw.gateway.internal.Samples;
import org.guavagw.gateway.model.BackendServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BrittleServersTest {
  /** Has eight slots. */
  private static final BackendServer SERVER = Samples.server("w1", "dc1", "v1");

  private static final String INCARNATION = SERVER.incarnation();

  private final ManualClock clock = new ManualClock();
  private int inFlight;
  private final BrittleServers brittle = new BrittleServers(s -> inFlight, s -> true, () -> 0.5);

  @Test
  void shouldSendToServersThatAreNotBrittleWhateverTheirLoad() {
    inFlight = 100;
    assertThat(brittle.onRejected(SERVER, clock.read())).isFalse();
    assertThat(allows()).isTrue();
  }

  @Test
  void shouldNotFillABrittleServerBeyondItsSlots() {
    state(2);
    inFlight = 6;
    assertThat(allows()).isTrue();

    inFlight = 7;

    assertThat(allows()).isFalse();
  }

  @Test
  void shouldWaitAfterARejectionUnlessTheServerHasEmptied() {
    state(4);
    inFlight = 5;
    assertThat(brittle.onRejected(SERVER, clock.read())).isTrue();
    inFlight = 4;
    assertThat(brittle.untilNext(SERVER, clock.read())).isEqualTo(Duration.ofSeconds(2));

    inFlight = 2;
    assertThat(allows()).isTrue();
    inFlight = 4;
    clock.advance(Duration.ofSeconds(2));

    assertThat(allows()).isTrue();
  }

  @Test
  void shouldWaitForTheWholeTimeIfTheServerIsAsFullAsWhenItRejected() {
    state(1);
    inFlight = 3;
    brittle.onRejected(SERVER, clock.read());

    clock.advance(Duration.ofSeconds(6));

    assertThat(brittle.untilNext(SERVER, clock.read())).isEqualTo(Duration.ofSeconds(2));
    inFlight = 1;
    assertThat(allows()).isTrue();
  }

  @Test
  void shouldWaitWhenAnotherEntryReportsARejection() {
    inFlight = 3;
    brittle.onReport(Map.of(INCARNATION, 4.0), Set.of(), clock.read());
    assertThat(allows()).isTrue();

    brittle.onReport(Map.of(INCARNATION, 4.0), Set.of(INCARNATION), clock.read());

    assertThat(allows()).isFalse();
  }

  @Test
  void shouldWaitAsATesterThoughItIsNotifiedBeforeItKnowsTheServer() {
    inFlight = 3;
    brittle.onReport(Map.of(INCARNATION, 2.0), Set.of(INCARNATION), clock.read());

    assertThat(brittle.untilNext(SERVER, clock.read())).isEqualTo(Duration.ofSeconds(4));
    assertThat(brittle.untilNext(SERVER, clock.read())).isEqualTo(Duration.ofSeconds(4));
  }

  @Test
  void shouldForgetWhatAnotherEntryReportedOnceItNoLongerDoes() {
    inFlight = 8;
    brittle.onReport(Map.of(INCARNATION, 4.0), Set.of(), clock.read());
    assertThat(allows()).isFalse();

    clock.advance(BrittleServers.REPORT_MEMORY);

    assertThat(allows()).isTrue();
  }

  @Test
  void shouldSendAgainOnceAnAnswerNoLongerStatesIt() {
    state(2);
    inFlight = 8;

    assertThat(brittle.onStatement(INCARNATION, OptionalDouble.empty(), clock.read())).isTrue();

    assertThat(allows()).isTrue();
    assertThat(brittle.brittle()).isEmpty();
  }

  @Test
  void shouldNotifyOthersOfARejectionForAMoment() {
    state(2);
    brittle.onRejected(SERVER, clock.read());
    assertThat(brittle.full(clock.read())).containsExactly(INCARNATION);

    clock.advance(BrittleServers.REJECTION_NOTICE);

    assertThat(brittle.full(clock.read())).isEmpty();
  }

  @Property(tries = 100)
  void shouldKeepTheRejectionsOfAllEntriesBelowTheStatedNumber(
      @ForAll long seed,
      @ForAll @IntRange(min = 1, max = 40) int entryCount,
      @ForAll @IntRange(min = 2, max = 20) int tolerated) {
    Random random = new Random(seed);
    List<BrittleServers> entries = new ArrayList<>();
    for (int i = 0; i < entryCount; i++) {
      boolean tests = i < BrittleServers.TESTERS;
      BrittleServers entry = new BrittleServers(s -> 3, s -> tests, random::nextDouble);
      entry.onStatement(INCARNATION, OptionalDouble.of(tolerated), clock.read());
      entries.add(entry);
    }
    Duration step = Duration.ofMillis(10);
    List<Long> rejections = new ArrayList<>();
    for (int i = 0; i < 2000; i++) {
      clock.advance(step);
      for (BrittleServers entry : entries) {
        if (random.nextInt(10) == 0 && entry.allows(SERVER, clock.read())) {
          entry.onRejected(SERVER, clock.read());
          rejections.add(clock.read());
          Map<String, Double> known = entry.brittle();
          Set<String> full = entry.full(clock.read());
          entries.forEach(e -> e.onReport(known, full, clock.read()));
        }
      }
    }

    int falls = 0;
    List<Long> window = new ArrayList<>();
    for (long rejection : rejections) {
      window.add(rejection);
      window.removeIf(r -> rejection - r > Duration.ofSeconds(1).toNanos());
      if (window.size() > tolerated) {
        falls++;
        window.clear();
      }
    }
    assertThat(falls).isLessThanOrEqualTo(2);
  }

  @ParameterizedTest
  @CsvSource({"-8741063049989690440, 39", "4614419257889835122, 3", "2752940648048000957, 31"})
  void shouldKeepBelowTheStatedNumberThoughEntriesNoLongerKnowTheRoom(long seed, int entryCount) {
    shouldKeepTheRejectionsOfAllEntriesBelowTheStatedNumber(seed, entryCount, 2);
  }

  private void state(double tolerated) {
    brittle.onStatement(INCARNATION, OptionalDouble.of(tolerated), clock.read());
  }

  private boolean allows() {
    return brittle.allows(SERVER, clock.read());
  }
}

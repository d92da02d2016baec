package org.guavagw.gateway.internal.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HubTimingTest {
  /** Time for an entry that left its hub to read the orders itself. */
  private static final Duration READ_TIME = Duration.ofMillis(300);

  @ParameterizedTest
  @CsvSource({"1000,500", "2000,500", "3000,750", "4000,1000", "7000,1200"})
  void shouldPollAsRarelyAsTheTimeLimitForAConfigurationAllows(long limit, long poll) {
    assertThat(HubTiming.within(Duration.ofMillis(limit)).pollTimeout()).hasMillis(poll);
  }

  @ParameterizedTest
  @CsvSource({"2000,4", "3000,3", "4000,2"})
  void shouldUseAHubFromTheNumberOfEntriesAtWhichItSavesCalls(long limit, int entries) {
    assertThat(HubTiming.within(Duration.ofMillis(limit)).minMembers()).isEqualTo(entries);
  }

  @ParameterizedTest
  @CsvSource({"2000", "3000", "4000", "7000"})
  void shouldLeaveTimeToCatchUpAfterAHubWasLost(long limit) {
    Duration noticed = HubTiming.within(Duration.ofMillis(limit)).maxOrdersAge();

    assertThat(noticed.plus(READ_TIME)).isLessThan(Duration.ofMillis(limit));
  }
}

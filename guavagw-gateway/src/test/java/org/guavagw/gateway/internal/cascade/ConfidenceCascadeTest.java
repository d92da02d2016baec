package org.guavagw.gateway.internal.cascade;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalInt;
import org.guavagw.gateway.internal.Samples;
import org.guavagw.gateway.model.Route;
import org.guavagw.gateway.model.RouteKind;
import org.junit.jupiter.api.Test;

class ConfidenceCascadeTest {
  private static final AttemptEstimate IDLE = new AttemptEstimate(100, 1000);
  private static final AttemptEstimate LATE = new AttemptEstimate(3000, 1000);
  private final Route route =
      Samples.route(RouteKind.STREAM, List.of("small", "middle", "large"), 3);
  private final ConfidenceCascade cascade = new ConfidenceCascade(60);

  @Test
  void shouldUseTheSmallestModelFirst() {
    assertThat(cascade.initialModel(route, Samples.request("r"))).contains("small");
  }

  @Test
  void shouldEscalateToTheStrongestModelOnLowConfidence() {
    assertThat(cascade.escalationModel(route, "small", OptionalInt.of(59), m -> IDLE))
        .contains("large");
    assertThat(cascade.escalationModel(route, "small", OptionalInt.empty(), m -> IDLE))
        .contains("large");
  }

  @Test
  void shouldAcceptConfidentAnswersAndAnswersOfTheStrongestModel() {
    assertThat(cascade.escalationModel(route, "small", OptionalInt.of(60), m -> IDLE)).isEmpty();
    assertThat(cascade.escalationModel(route, "large", OptionalInt.of(1), m -> IDLE)).isEmpty();
  }

  @Test
  void shouldUseTheStrongestModelIfOnlyOneAttemptIsAllowed() {
    Route single = Samples.route(RouteKind.STREAM, List.of("small", "large"), 1);
    assertThat(cascade.initialModel(single, Samples.request("r"))).contains("large");
  }

  @Test
  void shouldChooseNoModelIfTheCallerSpecifiesIt() {
    Route plain = Samples.route(RouteKind.IDEMPOTENT, List.of(), 2);
    assertThat(cascade.initialModel(plain, Samples.request("r"))).isEmpty();
  }

  @Test
  void shouldAcceptLowerConfidenceIfTheStrongestModelWouldBeLate() {
    assertThat(cascade.escalationModel(route, "small", OptionalInt.of(40), m -> LATE)).isEmpty();
    assertThat(cascade.escalationModel(route, "small", OptionalInt.of(40), m -> IDLE))
        .contains("large");
  }

  @Test
  void shouldEscalateOnLowConfidenceWhileTheStrongestModelIsInTime() {
    AttemptEstimate soon = new AttemptEstimate(400, 1000);
    assertThat(cascade.escalationModel(route, "small", OptionalInt.of(59), m -> soon))
        .contains("large");
  }

  @Test
  void shouldAcceptAnyConfidenceIfTheStrongestModelWouldBeLate() {
    assertThat(cascade.escalationModel(route, "small", OptionalInt.of(5), m -> LATE)).isEmpty();
    assertThat(cascade.escalationModel(route, "small", OptionalInt.empty(), m -> LATE)).isEmpty();
  }
}

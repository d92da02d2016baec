package org.guavagw.standins.history.check;

import static org.assertj.core.api.Assertions.assertThat;
import static org.guavagw.standins.history.check.HistoryBuilder.V1;
import static org.guavagw.standins.history.check.HistoryBuilder.V2;
import static org.guavagw.standins.history.check.HistoryBuilder.WINDOW;
import static org.guavagw.standins.history.check.HistoryBuilder.cold;
import static org.guavagw.standins.history.check.HistoryBuilder.refused;
import static org.guavagw.standins.history.check.HistoryBuilder.resumed;
import static org.guavagw.standins.history.check.HistoryBuilder.run;
import static org.guavagw.standins.history.check.HistoryBuilder.sent;
import static org.guavagw.standins.history.check.HistoryBuilder.start;
import static org.guavagw.standins.history.check.HistoryBuilder.waited;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.guavagw.config.VersionRef;
import org.guavagw.standins.history.Event.ColdOverload;
import org.guavagw.standins.history.Event.ConfigAccepted;
import org.guavagw.standins.history.Event.DataCentreIn;
import org.guavagw.standins.history.Event.DataCentreOut;
import org.guavagw.standins.history.Event.ServerJoined;
import org.guavagw.standins.history.Event.ServerLeaving;
import org.guavagw.standins.history.Event.ServerTurnedCold;
import org.guavagw.standins.history.Event.VersionWithdrawn;
import org.guavagw.standins.history.History;
import org.guavagw.standins.history.HistoryChecker;
import org.guavagw.standins.history.Invariant;
import org.guavagw.standins.history.ReportedRunState;
import org.guavagw.standins.history.Violation;
import org.junit.jupiter.api.Test;

class ExecutionCheckersTest {
  @Test
  void shouldHaveOneCheckerPerInvariant() {
    assertThat(Checkers.all(WINDOW, WINDOW))
        .extracting(HistoryChecker::invariant)
        .containsExactlyInAnyOrder(Invariant.values());
  }

  @Test
  void shouldDetectAVersionThatTheTeamMayNoLongerUse() {
    HistoryChecker checker = new VersionsAllowedChecker(WINDOW);
    HistoryBuilder h =
        start()
            .at(0, allowing(1, V1))
            .at(1, sent("c1", 1))
            .at(10, allowing(2, V2))
            .at(13, run("c1", V1));
    assertNoViolations(checker, h.build());

    assertViolations(checker, h.at(14, run("c1", V1)).build(), 4);
  }

  @Test
  void shouldDetectAVersionUsedBeforeItIsAllowed() {
    History h =
        start()
            .at(0, allowing(1, V1))
            .at(1, sent("c1", 1))
            .at(2, run("c1", V2))
            .at(3, allowing(2, V2))
            .build();

    assertViolations(new VersionsAllowedChecker(WINDOW), h, 2);
  }

  @Test
  void shouldDetectARequestForAWithdrawnVersionByItsArrival() {
    HistoryChecker checker = new WithdrawnVersionChecker(WINDOW);
    HistoryBuilder h =
        start()
            .at(0, new VersionWithdrawn(V1))
            .at(3, run("c1", V1))
            .at(9, waited("c2", 6))
            .at(9, run("c3", V2));
    assertNoViolations(checker, h.build());

    assertViolations(checker, h.at(9, waited("c4", 5)).build(), 4);
  }

  @Test
  void shouldDetectARequestInADataCentreOutOfService() {
    HistoryChecker checker = new DataCentreOutChecker(WINDOW);
    HistoryBuilder h =
        start()
            .at(0, new DataCentreOut("luxor-ops"))
            .at(3, run("c1", V1))
            .at(5, new DataCentreIn("luxor-ops"))
            .at(6, run("c2", V1))
            .at(7, new DataCentreOut("aswan-hq"))
            .at(20, run("c3", V1));
    assertNoViolations(checker, h.build());

    assertViolations(
        checker, h.at(21, new DataCentreOut("luxor-ops")).at(25, run("c4", V1)).build(), 7);
  }

  @Test
  void shouldDetectARequestForALeavingServer() {
    HistoryChecker checker = new LeavingServerChecker(WINDOW);
    HistoryBuilder h =
        start()
            .at(0, new ServerLeaving("server1"))
            .at(2, run("c1", V1))
            .at(5, new ServerJoined("server1"))
            .at(9, run("c2", V1));
    assertNoViolations(checker, h.build());

    assertViolations(
        checker, h.at(10, new ServerLeaving("server1")).at(14, run("c3", V1)).build(), 5);
  }

  @Test
  void shouldDetectMoreRequestsThanColdSlots() {
    HistoryChecker checker = new ColdSlotsChecker(WINDOW);
    HistoryBuilder h =
        start()
            .at(0, cold(2))
            .at(5, new ServerTurnedCold("server1"))
            .at(7, new ColdOverload("server1", "r1"));
    assertNoViolations(checker, h.build());

    assertViolations(
        checker, h.at(9, new ColdOverload("server1", "r2")).at(10, cold(3)).build(), 4, 3);
  }

  @Test
  void shouldDetectASecondExecutionOverAllAttempts() {
    HistoryChecker checker = new AtMostOnceChecker();
    HistoryBuilder h =
        start()
            .at(0, sent("c1", 1))
            .at(0, run("c1", V1))
            .at(1, resumed("c1"))
            .at(2, sent("c1", 2))
            .at(3, sent("c2", 1, Optional.empty(), true))
            .at(4, run("c2", V1))
            .at(5, run("c2", V1));
    assertNoViolations(checker, h.build());

    assertViolations(checker, h.at(6, run("c1", V1)).build(), 7);
  }

  @Test
  void shouldDetectAnExecutionLaterRefusedAsNotRun() {
    HistoryChecker checker = new NotRunChecker();
    HistoryBuilder h =
        start()
            .at(0, sent("c1", 1))
            .at(1, refused("c1", 1, ReportedRunState.NOT_RUN))
            .at(2, sent("c1", 2))
            .at(3, run("c1", V1))
            .at(4, refused("c1", 2, ReportedRunState.UNKNOWN))
            .at(5, sent("c2", 1));
    assertNoViolations(checker, h.build());

    assertViolations(
        checker,
        h.at(6, run("c2", V1)).at(7, refused("c2", 1, ReportedRunState.NOT_RUN)).build(),
        6);
  }

  @Test
  void shouldDetectAnExecutionAfterARefusalAsNotRun() {
    History h =
        start()
            .at(0, sent("c1", 1))
            .at(1, refused("c1", 1, ReportedRunState.NOT_RUN))
            .at(2, run("c1", V1))
            .at(3, sent("c1", 2))
            .build();

    assertViolations(new NotRunChecker(), h, 2);
  }

  private static ConfigAccepted allowing(long revision, VersionRef version) {
    return new ConfigAccepted(revision, Map.of("team1", Set.of(version)));
  }

  static void assertNoViolations(HistoryChecker checker, History history) {
    assertThat(checker.check(history)).isEmpty();
  }

  static void assertViolations(HistoryChecker checker, History history, long... orders) {
    List<Violation> found = checker.check(history);
    assertThat(found).extracting(Violation::invariant).containsOnly(checker.invariant());
    assertThat(found.stream().mapToLong(v -> v.event().order())).containsExactly(boxed(orders));
  }

  private static Long[] boxed(long... orders) {
    return Arrays.stream(orders).boxed().toArray(Long[]::new);
  }
}

package org.guavagw.standins.history.check;

import static org.guavagw.standins.history.check.ExecutionCheckersTest.assertNoViolations;
import static org.guavagw.standins.history.check.ExecutionCheckersTest.assertViolations;
import static org.guavagw.standins.history.check.HistoryBuilder.V1;
import static org.guavagw.standins.history.check.HistoryBuilder.V2;
import static org.guavagw.standins.history.check.HistoryBuilder.WINDOW;
import static org.guavagw.standins.history.check.HistoryBuilder.answered;
import static org.guavagw.standins.history.check.HistoryBuilder.refused;
import static org.guavagw.standins.history.check.HistoryBuilder.sent;
import static org.guavagw.standins.history.check.HistoryBuilder.sentInSession;
import static org.guavagw.standins.history.check.HistoryBuilder.start;

import java.util.Map;
import org.guavagw.standins.engine.AnswerText;
import org.guavagw.standins.history.Event.BillWritten;
import org.guavagw.standins.history.Event.CallerCut;
import org.guavagw.standins.history.Event.ConfigAccepted;
import org.guavagw.standins.history.Event.ConfigInForce;
import org.guavagw.standins.history.Event.EntryCutOff;
import org.guavagw.standins.history.Event.EntryReconnected;
import org.guavagw.standins.history.Event.EntryStarted;
import org.guavagw.standins.history.Event.EntryStopped;
import org.guavagw.standins.history.Event.EntryStopping;
import org.guavagw.standins.history.Event.SessionPinned;
import org.guavagw.standins.history.Event.VersionWithdrawn;
import org.guavagw.standins.history.History;
import org.guavagw.standins.history.HistoryChecker;
import org.guavagw.standins.history.ReportedRunState;
import org.junit.jupiter.api.Test;

class CallerCheckersTest {
  private static final HistoryChecker CONFIGURATION = new ConfigurationChecker(WINDOW);

  @Test
  void shouldDetectASessionThatChangesItsVersion() {
    HistoryChecker checker = new SessionVersionChecker();
    HistoryBuilder h =
        start()
            .at(0, sentInSession("c1", "s1"))
            .at(1, answered("c1", V1, ""))
            .at(2, sentInSession("c2", "s2"))
            .at(3, answered("c2", V2, ""))
            .at(4, new SessionPinned("team1", "s1", V1));
    assertNoViolations(checker, h.build());

    assertViolations(
        checker, h.at(5, sentInSession("c3", "s1")).at(6, answered("c3", V2, "")).build(), 6);
  }

  @Test
  void shouldAllowASessionToLeaveAWithdrawnVersion() {
    History h =
        start()
            .at(0, new SessionPinned("team1", "s1", V1))
            .at(1, new VersionWithdrawn(V1))
            .at(2, new SessionPinned("team1", "s1", V2))
            .build();

    assertNoViolations(new SessionVersionChecker(), h);
  }

  @Test
  void shouldDetectTruncatedAndCrossedAnswers() {
    HistoryChecker checker = new WholeAnswerChecker();
    HistoryBuilder h =
        start()
            .at(0, sent("c1", 1))
            .at(1, answered("c1", V1, AnswerText.complete("r-c1", "p", 4, 0.5)))
            .at(2, sent("c2", 1))
            .at(2, sent("c3", 1));
    assertNoViolations(checker, h.build());

    HistoryBuilder cut = h.at(3, answered("c2", V1, AnswerText.complete("r-c2", "p", 3, 0.5)));
    HistoryBuilder crossed =
        cut.at(4, answered("c3", V1, AnswerText.complete("r-c1", "p", 4, 0.5)));
    assertViolations(checker, crossed.build(), 4, 5);
  }

  @Test
  void shouldDetectMissingAndDuplicateBills() {
    HistoryChecker checker = new BilledOnceChecker(WINDOW);
    HistoryBuilder h =
        start()
            .at(0, answered("c1", V1, ""))
            .at(1, new BillWritten("r-c1"))
            .at(2, refused("c2", 1, ReportedRunState.NOT_RUN))
            .at(3, answered("c3", V1, ""))
            .at(4, refused("c4", 1, ReportedRunState.UNKNOWN))
            .at(5, new BillWritten("r-c4"));
    assertNoViolations(checker, h.build());

    assertViolations(checker, h.at(6, new BillWritten("r-c1")).build(), 6, 3);
  }

  @Test
  void shouldDetectABillForARequestThatDidNotRun() {
    History h =
        start()
            .at(0, refused("c1", 1, ReportedRunState.NOT_RUN))
            .at(1, new BillWritten("r-c1"))
            .build();

    assertViolations(new BilledOnceChecker(WINDOW), h, 0);
  }

  @Test
  void shouldDetectACallCutOffByAGracefulShutdown() {
    HistoryChecker checker = new GracefulShutdownChecker();
    HistoryBuilder h =
        start()
            .at(0, sent("c1", 1))
            .at(1, new CallerCut("c1", 1))
            .at(2, sent("c2", 1))
            .at(3, new EntryStopping("entry2"))
            .at(4, new CallerCut("c2", 1))
            .at(5, sent("c3", 1));
    assertNoViolations(checker, h.build());

    assertViolations(
        checker, h.at(6, new EntryStopping("entry1")).at(7, new CallerCut("c3", 1)).build(), 7);
  }

  @Test
  void shouldAcceptAConfigurationInForceInTime() {
    History h =
        start()
            .at(0, new EntryStarted("entry1"))
            .at(1, accepted(1))
            .at(2, accepted(2))
            .at(4, new ConfigInForce("entry1", 2))
            .at(9, new EntryStarted("entry2"))
            .at(11, new ConfigInForce("entry2", 2))
            .at(30, accepted(3))
            .at(31, new EntryStopped("entry1"))
            .at(32, new EntryStopping("entry2"))
            .at(60, new EntryStopped("entry2"))
            .build();

    assertNoViolations(CONFIGURATION, h);
  }

  @Test
  void shouldDetectALateOrMissingConfiguration() {
    History h =
        start()
            .at(0, new EntryStarted("entry1"))
            .at(0, new EntryStarted("entry2"))
            .at(1, accepted(1))
            .at(5, new ConfigInForce("entry1", 1))
            .build();

    assertViolations(CONFIGURATION, h, 2, 2);
  }

  @Test
  void shouldDetectALowerOrNeverAcceptedRevision() {
    History h =
        start()
            .at(0, new EntryStarted("entry1"))
            .at(0, accepted(1))
            .at(1, accepted(2))
            .at(1, new ConfigInForce("entry1", 2))
            .at(2, new ConfigInForce("entry1", 1))
            .at(3, new ConfigInForce("entry1", 7))
            .build();

    assertViolations(CONFIGURATION, h, 4, 5);
  }

  @Test
  void shouldTolerateALateConfigurationOnlyWhileTheEntryIsCutOff() {
    HistoryBuilder h =
        start()
            .at(0, new EntryStarted("entry1"))
            .at(1, new EntryCutOff("entry1"))
            .at(2, accepted(1))
            .at(20, new EntryReconnected("entry1"));
    assertNoViolations(CONFIGURATION, h.build());

    assertViolations(CONFIGURATION, h.at(24, new ConfigInForce("entry1", 1)).build(), 2);
  }

  private static ConfigAccepted accepted(long revision) {
    return new ConfigAccepted(revision, Map.of());
  }
}

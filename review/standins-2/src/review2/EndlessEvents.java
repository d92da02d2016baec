package review2;

import java.util.List;

/**
 * One worker of three is in trouble: in place of the events of an answer it sends bytes without
 * end, until the caller closes. Requests for another service are still answered by their route's
 * timeout and half a second.
 */
final class EndlessEvents {
  private static final double CALM_SECONDS = 6;
  private static final double TROUBLE_SECONDS = 40;
  private static final double AFTER_SECONDS = 10;

  private final Deployment deployment;
  private final Record record;

  private EndlessEvents(Deployment deployment) {
    this.deployment = deployment;
    this.record = deployment.record;
  }

  public static void main(String[] args) {
    Play.main(
        args,
        Deployment.ZONES,
        100,
        List.of("kingston", "spanish-town"),
        (deployment, trouble) -> new EndlessEvents(deployment).play(trouble));
  }

  private boolean play(boolean trouble) {
    Entry entry = deployment.entries.get(0);
    Traffic traffic = new Traffic(entry, deployment.entries.get(1), record);
    traffic.startStreams(20, 30, 400);
    traffic.startLedger(6, 200);
    Threads.sleep((long) (CALM_SECONDS * 1000));
    double begin = record.seconds();
    deployment.engines.get(0).setInTrouble(trouble);
    Threads.sleep((long) (TROUBLE_SECONDS * 500));
    record.result("ready in the middle of the disruption: %b", entry.isReady());
    Threads.sleep((long) (TROUBLE_SECONDS * 500));
    deployment.engines.get(0).setInTrouble(false);
    double end = record.seconds();
    Threads.sleep((long) (AFTER_SECONDS * 1000));
    traffic.stop();
    record.result("%s", traffic.summary("ledger", 0, begin));
    record.result("%s", traffic.summary("ledger", begin, end));
    record.result("%s", traffic.summary("stream", begin, end));
    record.result("%s", traffic.summary("ledger", end + 2, record.seconds() - 3));
    Traffic.Unanswered unanswered = traffic.unanswered(begin, end);
    record.result("%s", unanswered);
    record.result(
        "%s ended by itself %d times, %d MB at most",
        entry.name(), entry.ownEnds(), entry.peakMemoryMegabytes());
    return unanswered.breaksRule();
  }
}

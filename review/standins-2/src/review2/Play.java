package review2;

import java.nio.file.Path;
import java.util.List;

/** Plays one case and turns its outcome into an exit code. Stateless. */
final class Play {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  private Play() {}

  /** A case that runs on a deployment of its own. */
  interface Case {
    /** Returns whether the rule was broken. */
    boolean isBroken(Deployment deployment, boolean trouble) throws Exception;
  }

  /**
   * Starts a deployment, plays a case on it and exits.
   *
   * @param args the root of the repository and the file of the record
   * @param machines the zone of each machine
   */
  static void main(
      String[] args, List<String> engineZones, int eventMillis, List<String> machines, Case played) {
    int code = NOT_RUN;
    try (Record record = new Record(Path.of(args[1]));
        Deployment deployment =
            new Deployment(Path.of(args[0]), record, engineZones, eventMillis)) {
      boolean trouble = !"0".equals(System.getenv("TROUBLE"));
      record.result(
          "%s the disruption; logs of the processes in %s",
          trouble ? "with" : "without", deployment.folder());
      if (deployment.start(machines)) {
        code = played.isBroken(deployment, trouble) ? BROKEN : HELD;
        record.result(code == BROKEN ? "BROKEN" : "held");
      }
    } catch (Exception e) {
      e.printStackTrace();
      code = NOT_RUN;
    }
    System.exit(code);
  }
}

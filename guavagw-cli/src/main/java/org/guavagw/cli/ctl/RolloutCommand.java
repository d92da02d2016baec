package org.guavagw.cli.ctl;

import com.google.common.base.Splitter;
import com.google.common.collect.Iterables;
import com.google.common.primitives.Ints;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.guavagw.config.ConfigEdits;
import org.guavagw.config.GatewayConfig;
import org.guavagw.config.RolloutConfig;
import org.guavagw.config.RolloutState;
import org.guavagw.config.VersionRef;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Starts a rollout or changes its stage or state. Not thread-safe. */
final class RolloutCommand extends ChangeCommand {
  @Argument(index = 0, metaVar = "start|advance|hold|resume|abort", required = true)
  private Action action;

  @Argument(index = 1, metaVar = "ROLLOUT", required = true)
  private String id;

  @Option(name = "--from", metaVar = "MODEL@VERSION", usage = "current version, for start")
  private String from = "";

  @Option(name = "--to", metaVar = "VERSION", usage = "new version, for start")
  private String to = "";

  @Option(
      name = "--stages",
      metaVar = "PERCENT,...",
      usage = "ascending traffic shares of the stages, for start")
  private String stages = "5,25,100";

  /** What the command does with the rollout. */
  enum Action {
    START,
    ADVANCE,
    HOLD,
    RESUME,
    ABORT
  }

  @Override
  Either<CtlFailure, GatewayConfig> edit(GatewayConfig newest) {
    Optional<RolloutConfig> rollout =
        newest.rollouts().stream().filter(r -> r.id().equals(id)).findFirst();
    if (action == Action.START) {
      return rollout.isEmpty() ? start(newest) : restart(newest, rollout.get());
    }
    return rollout.isEmpty()
        ? EditCommands.missing("rollout '" + id + "'")
        : applyAction(newest, rollout.get());
  }

  private Either<CtlFailure, GatewayConfig> start(GatewayConfig newest) {
    List<Integer> percent =
        Splitter.on(',').splitToStream(stages).map(s -> Ints.tryParse(s.trim())).toList();
    if (!from.matches("[^@]+@[^@]+") || to.isEmpty() || Iterables.any(percent, p -> p == null)) {
      return Either.left(
          new CtlFailure.Usage(
              "start requires --from MODEL@VERSION, --to VERSION, --stages PERCENT,..."));
    }
    VersionRef old = VersionRef.parse(from);
    RolloutConfig rollout =
        new RolloutConfig(id, old.model(), old.version(), to, percent, 0, RolloutState.RUNNING);
    return Either.right(ConfigEdits.putRollout(newest, rollout));
  }

  private Either<CtlFailure, GatewayConfig> restart(GatewayConfig newest, RolloutConfig rollout) {
    return isOver(rollout)
        ? start(newest)
        : Either.left(
            new CtlFailure.InvalidState(
                "rollout '" + id + "' is " + rollout.state(),
                "abort it first or choose another id"));
  }

  private Either<CtlFailure, GatewayConfig> applyAction(
      GatewayConfig newest, RolloutConfig rollout) {
    if (isOver(rollout)) {
      return Either.left(
          new CtlFailure.InvalidState(
              "rollout '" + id + "' is " + rollout.state(), "start a new rollout"));
    }
    int stage = rollout.stage();
    return Either.right(
        switch (action) {
          case ADVANCE -> advance(newest, rollout);
          case HOLD -> ConfigEdits.moveRollout(newest, id, stage, RolloutState.HELD);
          case ABORT -> ConfigEdits.moveRollout(newest, id, stage, RolloutState.ABORTED);
          case RESUME, START -> ConfigEdits.moveRollout(newest, id, stage, RolloutState.RUNNING);
        });
  }

  private GatewayConfig advance(GatewayConfig newest, RolloutConfig rollout) {
    int last = rollout.stagesPercent().size() - 1;
    return rollout.stage() < last
        ? ConfigEdits.moveRollout(newest, id, rollout.stage() + 1, rollout.state())
        : ConfigEdits.moveRollout(newest, id, last, RolloutState.DONE);
  }

  private static boolean isOver(RolloutConfig rollout) {
    return rollout.state() == RolloutState.ABORTED || rollout.state() == RolloutState.DONE;
  }
}

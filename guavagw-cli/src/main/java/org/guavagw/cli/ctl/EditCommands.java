package org.guavagw.cli.ctl;

import io.vavr.control.Either;
import org.guavagw.config.ConfigEdits;
import org.guavagw.config.DataCentreState;
import org.guavagw.config.GatewayConfig;
import org.guavagw.config.VersionRef;
import org.guavagw.config.VersionState;
import org.kohsuke.args4j.Argument;

/** Commands that edit one element of the newest configuration. */
final class EditCommands {
  private EditCommands() {}

  /** Withdraws a version. Not thread-safe. */
  static final class Withdraw extends ChangeCommand {
    @Argument(metaVar = "MODEL@VERSION", required = true)
    private String version;

    @Override
    Either<CtlFailure, GatewayConfig> edit(GatewayConfig newest) {
      if (!version.matches("[^@]+@[^@]+")) {
        return Either.left(new CtlFailure.Usage("withdraw requires MODEL@VERSION"));
      }
      VersionRef ref = VersionRef.parse(version);
      return newest.versionState(ref).isEmpty()
          ? missing("version '" + version + "'")
          : Either.right(ConfigEdits.setVersionState(newest, ref, VersionState.WITHDRAWN));
    }
  }

  /** Takes a data centre out of service or back into service. Not thread-safe. */
  static final class DataCentre extends ChangeCommand {
    @Argument(index = 0, metaVar = "in|out", required = true)
    private DataCentreState state;

    @Argument(index = 1, metaVar = "DATA_CENTRE", required = true)
    private String dataCentre;

    @Override
    Either<CtlFailure, GatewayConfig> edit(GatewayConfig newest) {
      return newest.dataCentre(dataCentre).isEmpty()
          ? missing("data centre '" + dataCentre + "'")
          : Either.right(ConfigEdits.setDataCentreState(newest, dataCentre, state));
    }
  }

  /** Marks a backend server as leaving or as returned. Not thread-safe. */
  static final class BackendServer extends ChangeCommand {
    @Argument(index = 0, metaVar = "leave|return", required = true)
    private Action action;

    @Argument(index = 1, metaVar = "BACKEND_SERVER", required = true)
    private String backendServer;

    /** Whether the backend server leaves or returns. */
    enum Action {
      LEAVE,
      RETURN
    }

    @Override
    Either<CtlFailure, GatewayConfig> edit(GatewayConfig newest) {
      return newest.backendServer(backendServer).isEmpty()
          ? missing("backend server '" + backendServer + "'")
          : Either.right(ConfigEdits.setLeaving(newest, backendServer, action == Action.LEAVE));
    }
  }

  static <T> Either<CtlFailure, T> missing(String what) {
    return Either.left(new CtlFailure.NotFound(what));
  }
}

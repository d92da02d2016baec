package org.guavagw.cli.ctl;

import java.util.List;

/** Reason why a command failed. Immutable. */
sealed interface CtlFailure {
  /**
   * No entry answered.
   *
   * @param sent whether an entry may have received the request
   */
  record Unreachable(List<String> errors, boolean sent) implements CtlFailure {
    public Unreachable {
      errors = List.copyOf(errors);
    }
  }

  /** An entry answered with an error. */
  record Refused(String entry, int status, String code, String message) implements CtlFailure {}

  /** A change was sent, but it is unknown whether it was accepted. */
  record OutcomeUnknown(String changeId, String reason) implements CtlFailure {}

  /** The given configuration is invalid. */
  record Invalid(List<String> faults) implements CtlFailure {
    public Invalid {
      faults = List.copyOf(faults);
    }
  }

  /** The configuration does not contain the element that the command names. */
  record NotFound(String element) implements CtlFailure {}

  /** The command is not applicable to the current state of the configuration. */
  record InvalidState(String problem, String remedy) implements CtlFailure {}

  /** The command line is invalid. */
  record Usage(String problem) implements CtlFailure {}

  /** The file could not be read. */
  record Unreadable(String file, String reason) implements CtlFailure {}

  /** A change was accepted, but is not yet in force in these data centres. */
  record NotInForce(long revision, List<String> dataCentres) implements CtlFailure {
    public NotInForce {
      dataCentres = List.copyOf(dataCentres);
    }
  }
}

package org.guavagw.cli.ctl;

import java.util.List;

/** Why a command failed. Immutable. */
sealed interface CtlFailure {
  /**
   * None of the entries gave an answer.
   *
   * @param sent whether an entry may have got the call
   */
  record Unreachable(List<String> tried, boolean sent) implements CtlFailure {
    public Unreachable {
      tried = List.copyOf(tried);
    }
  }

  /** An entry answered with an error. */
  record Refused(String entry, int status, String code, String message) implements CtlFailure {}

  /** A change was sent, and no answer tells whether it was accepted. */
  record OutcomeUnknown(String changeId, String reason) implements CtlFailure {}

  /** The configuration given is not valid. */
  record Invalid(List<String> faults) implements CtlFailure {
    public Invalid {
      faults = List.copyOf(faults);
    }
  }

  /** What the command names is not in the configuration. */
  record NotThere(String what) implements CtlFailure {}

  /** The command cannot be carried out on what the configuration says now. */
  record NotPossible(String what, String remedy) implements CtlFailure {}

  /** The command line is wrong. */
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

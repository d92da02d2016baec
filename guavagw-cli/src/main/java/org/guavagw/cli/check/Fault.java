package org.guavagw.cli.check;

/** Something that goes wrong, or that operators do, during a checked run. */
interface Fault {
  /** What happens, for the report. */
  String name();

  /** Makes it happen; may block for as long as it lasts. */
  void strike(CheckedDeployment deployment) throws InterruptedException;
}
